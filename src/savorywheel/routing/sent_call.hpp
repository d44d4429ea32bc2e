#ifndef SAVORYWHEEL_ROUTING_SENT_CALL_HPP
#define SAVORYWHEEL_ROUTING_SENT_CALL_HPP

#include <savorywheel/core/clock.hpp>

namespace savorywheel {

/** @brief A call in flight from this node to an endpoint. */
struct sent_call {
    /** @brief When it was sent. */
    monotonic_time at;
    /** @brief Expected service time at that endpoint; zero if unknown. */
    duration work{};

    [[nodiscard]] friend bool operator==(const sent_call&, const sent_call&) = default;
};

} // namespace savorywheel

#endif
