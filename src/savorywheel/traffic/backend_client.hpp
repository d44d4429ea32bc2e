#ifndef SAVORYWHEEL_TRAFFIC_BACKEND_CLIENT_HPP
#define SAVORYWHEEL_TRAFFIC_BACKEND_CLIENT_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/http/http_client.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/traffic/answered_requests.hpp>
#include <savorywheel/traffic/backend_server.hpp>
#include <savorywheel/traffic/call_response.hpp>
#include <savorywheel/traffic/crash_reporter.hpp>
#include <savorywheel/traffic/crashing_request_tracker.hpp>
#include <savorywheel/traffic/gate_call.hpp>
#include <savorywheel/traffic/response_class.hpp>
#include <savorywheel/traffic/server_header_codec.hpp>

#include <array>
#include <atomic>
#include <mutex>
#include <optional>
#include <span>
#include <vector>

namespace savorywheel {

/**
 * @brief Runs calls at a backend server and tracks requests during which it crashed; thread-safe.
 */
class backend_client {
public:
    /** @brief Dependencies; all must outlive the client. */
    struct environment {
        /** @brief Sends requests to the backend server. */
        http_client& client;
        const clock& time;
        /** @brief Sends crash reports to the other gates of the service. */
        crash_reporter& crashes;
        event_log& log;
        /** @brief Id of this node. */
        node_id self;
        /** @brief Header fields of requests to the backend server. */
        const server_header_codec& header_codec;
    };

    /** @param env Dependencies. */
    explicit backend_client(environment env) : environment_{std::move(env)} {}

    /**
     * @brief Sends a call to the backend server and blocks until it finished.
     * @param item Call to run.
     * @param backend Backend server to send it to.
     * @return The outcome; not_run with refusal expired if the deadline has already passed.
     */
    [[nodiscard]] call_response run(gate_call& item, const backend_server& backend);

    /** @brief Adds crash reports received from another node. */
    void add_crash_reports(std::span<const crash_report> reports);

    /** @return The crashes of a service's backend servers that are still tracked. */
    [[nodiscard]] std::vector<crash_report> crash_reports_of(const service_name& service) const;

    /** @return True if the request must be refused because it crashes backend servers. */
    [[nodiscard]] bool is_blocked(request_digest digest) const;

    /** @return Number of responses of the class since the start. */
    [[nodiscard]] std::uint64_t responses(response_class kind) const
    {
        return responses_.at(static_cast<std::size_t>(kind));
    }

private:
    [[nodiscard]] call_response accept_response(gate_call& item, const backend_server& backend,
                                                http_response answer);
    [[nodiscard]] call_response handle_failure(const gate_call& item, const backend_server& backend,
                                               const failure& reason);
    void report_crash(const gate_call& item, const backend_server& backend);

    environment environment_;
    mutable std::mutex mutex_;
    crashing_request_tracker crashing_requests_;
    answered_requests answered_;
    std::optional<monotonic_time> last_crash_;
    /** Identity of the last crash. */
    std::uint64_t crash_{};
    std::array<std::atomic<std::uint64_t>, response_class_count> responses_{};
};

} // namespace savorywheel

#endif
