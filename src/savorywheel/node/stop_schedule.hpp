#ifndef SAVORYWHEEL_NODE_STOP_SCHEDULE_HPP
#define SAVORYWHEEL_NODE_STOP_SCHEDULE_HPP

#include <savorywheel/settings/node_settings.hpp>

#include <chrono>

namespace savorywheel {

/** @brief Stages of a planned stop, as times after the stop signal. */
struct stop_schedule {
    /** @brief Until then new requests are accepted. */
    std::chrono::milliseconds notice;
    /** @brief Then the requests in flight are interrupted and answered. */
    std::chrono::milliseconds interruption;
    /** @brief Then the connections are closed, also those with a response on its way. */
    std::chrono::milliseconds close;
};

/**
 * @brief Fits the stages of a stop into the grace time of the settings.
 *
 * Without a grace time, the notice and the limit of the settings apply.
 */
[[nodiscard]] stop_schedule make_stop_schedule(const node_settings& settings);

} // namespace savorywheel

#endif
