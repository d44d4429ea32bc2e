#ifndef SAVORYWHEEL_TRAFFIC_QUEUE_AHEAD_HPP
#define SAVORYWHEEL_TRAFFIC_QUEUE_AHEAD_HPP

#include <savorywheel/core/clock.hpp>

#include <cstddef>

namespace savorywheel {

/** @brief Queued calls that start before a call. */
struct queue_ahead {
    std::size_t calls{};
    /** @brief Sum of their expected service times. */
    duration work{};
};

} // namespace savorywheel

#endif
