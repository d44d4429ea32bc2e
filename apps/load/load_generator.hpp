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
 * @brief Open-loop load: requests fall due at a constant rate, and latency counts from then.
 *
 * A slow answer delays no other request unless all connections are in use; even then the wait
 * counts as latency.
 */
class load_generator {
public:
    /** @brief What the generator works with; all must outlive it. */
    struct environment {
        /** @brief Clock. */
        const clock& time;
        /** @brief Random numbers. */
        random_source& random;
        /** @brief Sends the requests. */
        http_client& client;
    };

    /**
     * @param plan The load.
     * @param env What the generator works with.
     */
    load_generator(load_plan plan, environment env);

    /** @return A sample per request, after all were answered or timed out. */
    [[nodiscard]] std::vector<call_sample> run();

    /** @brief Sends no more requests, but for those that already wait; any thread may call it. */
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
