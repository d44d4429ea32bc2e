#ifndef SAVORYWHEEL_STANDIN_BACKEND_BACKEND_HANDLER_HPP
#define SAVORYWHEEL_STANDIN_BACKEND_BACKEND_HANDLER_HPP

#include <savorywheel/core/random_source.hpp>
#include <savorywheel/http/http_handler.hpp>
#include <savorywheel/membership/server_state.hpp>
#include <savorywheel/traffic/backend_server.hpp>

#include <standin/backend/backend_behaviour.hpp>
#include <standin/backend/execution_log.hpp>

#include <atomic>
#include <mutex>
#include <string>

namespace savorywheel::standin {

/**
 * @brief Stand-in for a backend server that echoes requests and identifies itself.
 *
 * `PUT /control?fail_permille=N&fail_path=P&latency_us=N&state=serving|draining` changes its
 * behaviour. `mark=1` saves the number of requests run; `since_mark=1` returns the number run since
 * then. A request with the header `x-crash: 1` terminates the process immediately.
 */
class backend_handler final : public http_handler {
public:
    /**
     * @param self Initial announcement.
     * @param random Selects the requests that fail; must outlive the handler.
     * @param executions Records the requests that run; must outlive the handler.
     */
    backend_handler(backend_server self, random_source& random, const execution_log& executions);

    [[nodiscard]] http_response handle(const http_request& request) override;

    /** @return The current announcement. */
    [[nodiscard]] backend_server announcement() const;

    /** @brief Sets the announced state. */
    void set_state(server_state state);

    /** @return Number of requests run. */
    [[nodiscard]] std::uint64_t executed() const noexcept { return executed_; }

private:
    [[nodiscard]] http_response control(const http_request& request);
    [[nodiscard]] bool should_fail(const http_request& request, const backend_behaviour& behaviour);

    mutable std::mutex mutex_;
    backend_server self_;
    backend_behaviour behaviour_;
    random_source& random_;
    const execution_log& executions_;
    std::atomic<std::uint64_t> executed_{};
    std::uint64_t executed_at_mark_{};
};

} // namespace savorywheel::standin

#endif
