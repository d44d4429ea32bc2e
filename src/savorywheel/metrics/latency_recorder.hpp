#ifndef SAVORYWHEEL_METRICS_LATENCY_RECORDER_HPP
#define SAVORYWHEEL_METRICS_LATENCY_RECORDER_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/metrics/latency_summary.hpp>

#include <memory>

namespace savorywheel {

/** @brief Computes the distribution of recorded durations; thread-safe. */
class latency_recorder {
public:
    latency_recorder();
    latency_recorder(const latency_recorder&) = delete;
    latency_recorder& operator=(const latency_recorder&) = delete;
    latency_recorder(latency_recorder&&) = delete;
    latency_recorder& operator=(latency_recorder&&) = delete;
    ~latency_recorder();

    void record(duration value);

    /** @return The distribution of all durations recorded so far. */
    [[nodiscard]] latency_summary summary() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace savorywheel

#endif
