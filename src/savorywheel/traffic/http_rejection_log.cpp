#include <savorywheel/traffic/http_rejection_log.hpp>

#include <string>
#include <vector>

namespace savorywheel {

http_rejection_log::http_rejection_log(event_log& log, const clock& time, metric_registry& metrics)
    : metrics_{metrics}, library_errors_{metrics.count("http_library_errors")},
      refused_for_memory_{metrics.count("callers_refused_for_memory")}, evicted_{metrics.count(
                                                                            "callers_evicted")},
      header_timeouts_{metrics.count("caller_header_timeouts")},
      connections_refused_{metrics.count("caller_connections_refused")}, call_log_{log, time}
{
}

void http_rejection_log::on_rejected(int status, std::string_view target, std::string_view reason)
{
    ++metrics_.count({"http_rejections", "status", std::to_string(status)});
    call_log_.write(event_id::http_request_rejected, reason, [&] {
        return std::vector<log_field>{{"target", std::string{target}},
                                      {"status", std::to_string(status)}};
    });
}

void http_rejection_log::on_out_of_memory(std::string_view reason)
{
    count(refused_for_memory_, event_id::caller_refused_for_memory, reason);
}

void http_rejection_log::on_evicted(std::string_view reason)
{
    count(evicted_, event_id::caller_evicted, reason);
}

void http_rejection_log::on_header_timeout(std::string_view reason)
{
    count(header_timeouts_, event_id::caller_header_timeout, reason);
}

void http_rejection_log::on_connection_refused(std::string_view reason)
{
    count(connections_refused_, event_id::caller_connection_refused, reason);
}

void http_rejection_log::count(metric_registry::counter& counter, event_id id,
                               std::string_view reason)
{
    ++counter;
    call_log_.write(id, reason, [] { return std::vector<log_field>{}; });
}

void http_rejection_log::on_library_error(std::string_view message)
{
    count(library_errors_, event_id::http_library_error, message);
}

} // namespace savorywheel
