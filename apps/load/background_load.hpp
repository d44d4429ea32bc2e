#ifndef SAVORYWHEEL_APPS_LOAD_BACKGROUND_LOAD_HPP
#define SAVORYWHEEL_APPS_LOAD_BACKGROUND_LOAD_HPP

#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/core/system_clock_source.hpp>

#include <load/load_generator.hpp>
#include <load/path_summary.hpp>

#include <future>
#include <vector>

namespace savorywheel::load {

/** @brief Runs a load generator on a background thread. */
class background_load {
public:
    /**
     * @brief Starts the load.
     * @param plan Load to generate.
     * @param client HTTP client; must outlive this object.
     */
    background_load(load_plan plan, http_client& client);

    /** @brief Stops early; finish() still waits for requests in flight. */
    void stop() noexcept { generator_.stop(); }

    /** @brief Waits until the load has ended and summarizes its requests. */
    [[nodiscard]] path_summary finish();

private:
    system_clock_source time_;
    seeded_random random_;
    load_generator generator_;
    std::future<std::vector<call_sample>> samples_;
};

} // namespace savorywheel::load

#endif
