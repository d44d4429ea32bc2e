#ifndef SAVORYWHEEL_TRAFFIC_BACKEND_CLIENT_HPP
#define SAVORYWHEEL_TRAFFIC_BACKEND_CLIENT_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/http/http_client.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/traffic/backend_server.hpp>
#include <savorywheel/traffic/call_response.hpp>
#include <savorywheel/traffic/crash_reporter.hpp>
#include <savorywheel/traffic/crashing_request_tracker.hpp>
#include <savorywheel/traffic/gate_call.hpp>
#include <savorywheel/traffic/server_header_codec.hpp>

#include <mutex>

namespace savorywheel {

/**
 * @brief Runs calls at a backend server, and remembers which requests ran when it crashed.
 *
 * Any thread may use it.
 */
class backend_client {
public:
    /** @brief What the runner works with; all must outlive it. */
    struct environment {
        /** @brief Sends requests to the backend server. */
        http_client& client;
        /** @brief Clock. */
        const clock& time;
        /** @brief Spreads news of crashes. */
        crash_reporter& crashes;
        /** @brief Log. */
        event_log& log;
        /** @brief This node. */
        node_id self;
        /** @brief How the backend server speaks about requests. */
        const server_header_codec& header_codec;
    };

    /** @param env What the runner works with. */
    explicit backend_client(environment env) : environment_{std::move(env)} {}

    /**
     * @brief Runs a call and waits for its end.
     * @param item The call.
     * @param backend The backend server.
     */
    [[nodiscard]] call_response run(gate_call& item, const backend_server& backend);

    /** @brief Takes news of a crash elsewhere. */
    void add_crash_report(const crash_report& report);

    /** @return True if the request crashes what runs it. */
    [[nodiscard]] bool is_blocked(request_digest digest) const;

private:
    [[nodiscard]] call_response accept_response(const http_request& request,
                                                const backend_server& backend,
                                                http_response answer);
    [[nodiscard]] call_response handle_failure(const gate_call& item, const backend_server& backend,
                                               const failure& reason);
    void report_crash(const gate_call& item, const backend_server& backend);

    environment environment_;
    mutable std::mutex mutex_;
    crashing_request_tracker crashing_requests_;
    monotonic_time last_crash_;
    std::uint64_t crashes_{};
};

} // namespace savorywheel

#endif
