#include <savorywheel/traffic/http_rejection_log.hpp>

#include <string>
#include <vector>

namespace savorywheel {

http_rejection_log::http_rejection_log(event_log& log, const clock& time, metric_registry& metrics)
    : metrics_{metrics}, library_errors_{metrics.count("http_library_errors")}, call_log_{log, time}
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

void http_rejection_log::on_library_error(std::string_view message)
{
    ++library_errors_;
    call_log_.write(event_id::http_library_error, message, [] { return std::vector<log_field>{}; });
}

} // namespace savorywheel
