#ifndef SAVORYWHEEL_TEST_SUPPORT_BOOKING_CALLERS_HPP
#define SAVORYWHEEL_TEST_SUPPORT_BOOKING_CALLERS_HPP

#include <support/call_history.hpp>
#include <support/local_mesh.hpp>

#include <atomic>
#include <cstddef>
#include <thread>
#include <vector>

namespace savorywheel::test {

/** @brief Callers that send non-idempotent requests without retries until stopped. */
class booking_callers {
public:
    /**
     * @param mesh The mesh, with a service bookdesk and its route /book; must outlive the callers.
     * @param nodes Indices of the nodes that receive the requests, assigned round robin.
     */
    booking_callers(local_mesh& mesh, std::vector<std::size_t> nodes);
    booking_callers(const booking_callers&) = delete;
    booking_callers& operator=(const booking_callers&) = delete;
    booking_callers(booking_callers&&) = delete;
    booking_callers& operator=(booking_callers&&) = delete;
    ~booking_callers();

    /** @brief Stops the callers once their requests in flight have completed. */
    void stop();

    /** @return Results of all requests so far. */
    [[nodiscard]] const call_history& history() const noexcept { return history_; }

private:
    void run(std::size_t caller);

    local_mesh& mesh_;
    std::vector<std::size_t> nodes_;
    call_history history_;
    std::atomic<bool> stopping_{};
    std::vector<std::thread> threads_;
};

} // namespace savorywheel::test

#endif
