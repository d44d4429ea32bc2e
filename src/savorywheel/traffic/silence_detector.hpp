#ifndef SAVORYWHEEL_TRAFFIC_SILENCE_DETECTOR_HPP
#define SAVORYWHEEL_TRAFFIC_SILENCE_DETECTOR_HPP

#include <savorywheel/core/clock.hpp>

#include <cstdint>
#include <span>

namespace savorywheel {

/**
 * @brief Finds out that a backend server has fallen silent, before the calls that it holds expire.
 *
 * A gate sees the calls of all callers, so it can tell after a few of them; each caller's node
 * alone would send its own calls into the silence. Answers the load of a backend server that takes
 * requests and no longer answers any.
 */
class silence_detector {
public:
    /** @brief Notes an answer of the backend server, with which it is trusted again. */
    void record_response(monotonic_time now) noexcept;

    /** @brief Forgets everything, for another backend server. */
    void reset() noexcept { *this = {}; }

    /**
     * @brief Looks at the calls that run.
     * @param started When each of them started.
     * @param service_time Mean time of a call; zero if not known.
     * @param now Now.
     * @return True if the backend server is silent.
     */
    bool update(std::span<const monotonic_time> started, duration service_time, monotonic_time now);

    /** @return True if the backend server was silent at the last look and since. */
    [[nodiscard]] bool silent() const noexcept { return silent_; }

    /** @return True if a call may be sent to a silent backend server to see if it answers. */
    [[nodiscard]] bool allow_probe(monotonic_time now) noexcept;

private:
    bool silent_{};
    monotonic_time last_response_;
    monotonic_time next_probe_;
};

} // namespace savorywheel

#endif
