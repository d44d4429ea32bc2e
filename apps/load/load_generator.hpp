#ifndef SAVORYWHEEL_APPS_LOAD_LOAD_GENERATOR_HPP
#define SAVORYWHEEL_APPS_LOAD_LOAD_GENERATOR_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/random_source.hpp>
#include <savorywheel/http/http_client.hpp>

#include <load/arrival_schedule.hpp>
#include <load/call_sample.hpp>
#include <load/load_plan.hpp>

#include <atomic>
#include <vector>

namespace savorywheel::load {

/**
 * @brief Open-loop load generator: constant arrival rate, latency from the scheduled arrival.
 *
 * A slow response delays later requests only if all connections are busy, and their waiting time
 * counts as latency, so that there is no coordinated omission.
 */
class load_generator {
public:
    /** @brief Dependencies; all must outlive the generator. */
    struct environment {
        const clock& time;
        /** @brief Source for the selection of targets. */
        random_source& random;
        http_client& client;
    };

    /**
     * @param plan Load to generate.
     * @param env Clock, random numbers and HTTP client.
     */
    load_generator(load_plan plan, environment env);

    /** @brief Generates the load; returns one sample per request once all have completed. */
    [[nodiscard]] std::vector<call_sample> run();

    /** @brief Schedules no further requests; those already waiting are sent. Thread-safe. */
    void stop() noexcept { stopping_ = true; }

private:
    void run_worker(const arrival_schedule& schedule, std::uint64_t total,
                    std::vector<call_sample>& samples);
    [[nodiscard]] call_sample call(std::uint64_t index, monotonic_time due);

    load_plan plan_;
    environment environment_;
    std::atomic<std::uint64_t> next_{};
    std::atomic<bool> stopping_{};
};

} // namespace savorywheel::load

#endif
