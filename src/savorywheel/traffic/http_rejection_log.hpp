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
    void on_library_error(std::string_view message) override;

private:
    metric_registry& metrics_;
    metric_registry::counter& library_errors_;
    call_log call_log_;
};

} // namespace savorywheel

#endif
