#ifndef SAVORYWHEEL_TRAFFIC_BACKEND_RUNNER_HPP
#define SAVORYWHEEL_TRAFFIC_BACKEND_RUNNER_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/http/http_client.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/traffic/backend_server.hpp>
#include <savorywheel/traffic/call_response.hpp>
#include <savorywheel/traffic/crash_reporter.hpp>
#include <savorywheel/traffic/crash_suspects.hpp>
#include <savorywheel/traffic/gate_call.hpp>
#include <savorywheel/traffic/server_dialect.hpp>

#include <mutex>

namespace savorywheel {

/**
 * @brief Runs calls at a backend server and tracks requests during which it crashed; thread-safe.
 */
class backend_runner {
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
        const server_dialect& dialect;
    };

    /** @param surroundings Dependencies. */
    explicit backend_runner(environment surroundings) : environment_{std::move(surroundings)} {}

    /**
     * @brief Sends a call to the backend server and blocks until it finished.
     * @param item Call to run.
     * @param backend Backend server to send it to.
     * @return The outcome; not_run with refusal expired if the deadline has already passed.
     */
    [[nodiscard]] call_response run(gate_call& item, const backend_server& backend);

    /** @brief Adds a crash report received from another node. */
    void note_crash(const crash_report& report);

    /** @return True if the request must be refused because it crashes backend servers. */
    [[nodiscard]] bool blocked(request_digest digest) const;

private:
    [[nodiscard]] call_response take_answer(const http_request& request,
                                            const backend_server& backend, http_response answer);
    [[nodiscard]] call_response fail(const gate_call& item, const backend_server& backend,
                                     const failure& reason);
    void record_crash(const gate_call& item, const backend_server& backend);

    environment environment_;
    mutable std::mutex mutex_;
    crash_suspects suspects_;
    monotonic_time last_crash_;
    std::uint64_t crashes_{};
};

} // namespace savorywheel

#endif
