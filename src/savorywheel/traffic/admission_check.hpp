#ifndef SAVORYWHEEL_TRAFFIC_ADMISSION_CHECK_HPP
#define SAVORYWHEEL_TRAFFIC_ADMISSION_CHECK_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/traffic/call_refusal.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace savorywheel {

/**
 * @brief Inputs and rule of the decision whether a gate admits a call.
 *
 * The gate is the admission control in front of one backend server.
 * Under overload, a queue that is longer than callers are willing to wait makes every call late and
 * does not increase throughput. A call that cannot finish in time is therefore refused immediately,
 * so that the others meet their deadlines and its caller can retry elsewhere or later.
 */
struct admission_check {
    /** @brief Maximum number of requests that the backend server runs concurrently. */
    std::uint32_t slots{};
    /** @brief Calls running at the backend server. */
    std::uint32_t running{};
    /** @brief Queued calls of the same or a higher priority. */
    std::size_t waiting{};
    /** @brief Mean service time of a call; zero if unknown. */
    duration service_time{};
    /** @brief A high quantile of the service time; twice the mean if zero. */
    duration high_service_time{};
    /** @brief Time in the queue by the expected work ahead; from the counts if absent. */
    std::optional<duration> start{};
    /** @brief Time until the deadline of the call. */
    duration remaining{};
    /** @brief Time until the route's target latency is exceeded; zero if unknown. */
    duration target_remaining{};
    /** @brief True for the highest priority, for which the target latency is ignored. */
    bool highest_priority{};

    /** @return The reason to refuse the call; none if it is expected to finish in time. */
    [[nodiscard]] call_refusal decide() const noexcept;

    /** @return Maximum expected time to completion with which a call is admitted. */
    [[nodiscard]] duration time_limit() const noexcept;

    /** @return True if the call is unlikely to meet its target latency even without a queue. */
    [[nodiscard]] bool target_missed() const noexcept;

    /** @return True if a call that misses its target latency starts soon enough to wait for it. */
    [[nodiscard]] bool starts_soon() const noexcept;

    /** @return Time after which a retry of the call would probably be admitted; 50 ms to 4 s. */
    [[nodiscard]] duration retry_after() const noexcept;

    /** @return Expected time in the queue. */
    [[nodiscard]] duration expected_wait() const noexcept;

    /** @return Time after the start by which the call has probably finished. */
    [[nodiscard]] duration expected_run() const noexcept;
};

} // namespace savorywheel

#endif
