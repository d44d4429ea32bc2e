#ifndef SAVORYWHEEL_TRAFFIC_SILENCE_DETECTOR_HPP
#define SAVORYWHEEL_TRAFFIC_SILENCE_DETECTOR_HPP

#include <savorywheel/core/clock.hpp>

#include <cstdint>
#include <span>

namespace savorywheel {

/**
 * @brief Circuit breaker that detects a backend server which accepts requests without responding.
 *
 * A gate sees the calls of all callers, so it detects the silence after a few overdue calls, before
 * their deadlines. A caller's node would detect it only at the expense of more of its own calls.
 */
class silence_detector {
public:
    /** @brief Records a response of the backend server, which ends the silence. */
    void record_response(monotonic_time now) noexcept;

    /** @brief Resets all state, for another backend server. */
    void reset() noexcept { *this = {}; }

    /**
     * @brief Evaluates the running calls.
     * @param started Start times of the running calls.
     * @param service_time Mean service time of a call; zero if unknown.
     * @param now Current time.
     * @return True if the backend server is silent.
     */
    bool update(std::span<const monotonic_time> started, duration service_time, monotonic_time now);

    /** @return True if the last update() found silence and no response has arrived since. */
    [[nodiscard]] bool silent() const noexcept { return silent_; }

    /** @return True if a call may be sent to the silent backend server as a probe. */
    [[nodiscard]] bool allow_probe(monotonic_time now) noexcept;

private:
    bool silent_{};
    monotonic_time last_response_;
    monotonic_time next_probe_;
};

} // namespace savorywheel

#endif
