#ifndef SAVORYWHEEL_TRAFFIC_HTTP_REJECTION_LOG_HPP
#define SAVORYWHEEL_TRAFFIC_HTTP_REJECTION_LOG_HPP

#include <savorywheel/http/http_server_listener.hpp>
#include <savorywheel/metrics/metric_registry.hpp>
#include <savorywheel/traffic/call_log.hpp>

namespace savorywheel {

/** @brief Logs and counts requests that end in the HTTP server, before routing; thread-safe. */
class http_rejection_log final : public http_server_listener {
public:
    /**
     * @param log Event log; must outlive this object.
     * @param time Clock; must outlive this object.
     * @param metrics Registry of the counters; must outlive this object.
     */
    http_rejection_log(event_log& log, const clock& time, metric_registry& metrics);

    void on_rejected(int status, std::string_view target, std::string_view reason) override;
    void on_out_of_memory(std::string_view reason) override;
    void on_evicted(std::string_view reason) override;
    void on_header_timeout(std::string_view reason) override;
    void on_connection_refused(std::string_view reason) override;
    void on_library_error(std::string_view message) override;

private:
    void count(metric_registry::counter& counter, event_id id, std::string_view reason);

    metric_registry& metrics_;
    metric_registry::counter& library_errors_;
    metric_registry::counter& refused_for_memory_;
    metric_registry::counter& evicted_;
    metric_registry::counter& header_timeouts_;
    metric_registry::counter& connections_refused_;
    call_log call_log_;
};

} // namespace savorywheel

#endif
