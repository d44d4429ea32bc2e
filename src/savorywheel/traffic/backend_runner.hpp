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
 * @brief Runs calls at a backend server, and remembers which requests ran when it crashed.
 *
 * Any thread may use it.
 */
class backend_runner {
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
        const server_dialect& dialect;
    };

    /** @param surroundings What the runner works with. */
    explicit backend_runner(environment surroundings) : environment_{std::move(surroundings)} {}

    /**
     * @brief Runs a call and waits for its end.
     * @param item The call.
     * @param backend The backend server.
     */
    [[nodiscard]] call_response run(gate_call& item, const backend_server& backend);

    /** @brief Takes news of a crash elsewhere. */
    void note_crash(const crash_report& report);

    /** @return True if the request crashes what runs it. */
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
