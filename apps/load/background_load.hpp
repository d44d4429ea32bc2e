#ifndef SAVORYWHEEL_APPS_LOAD_BACKGROUND_LOAD_HPP
#define SAVORYWHEEL_APPS_LOAD_BACKGROUND_LOAD_HPP

#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/core/system_clock_source.hpp>

#include <load/load_generator.hpp>
#include <load/path_summary.hpp>

#include <future>
#include <vector>

namespace savorywheel::load {

/** @brief Open-loop load on a thread of its own. */
class background_load {
public:
    /**
     * @brief Starts the load.
     * @param plan The load.
     * @param client Sends the requests; must outlive the load.
     */
    background_load(load_plan plan, http_client& client);

    /** @brief Ends the load early; requests in progress are still awaited. */
    void stop() noexcept { generator_.stop(); }

    /** @return Summary of the requests; waits for the end of the load. */
    [[nodiscard]] path_summary finish();

private:
    system_clock_source time_;
    seeded_random random_;
    load_generator generator_;
    std::future<std::vector<call_sample>> samples_;
};

} // namespace savorywheel::load

#endif
