#ifndef SAVORYWHEEL_TRAFFIC_CALL_OBSERVER_HPP
#define SAVORYWHEEL_TRAFFIC_CALL_OBSERVER_HPP

#include <savorywheel/traffic/call_observation.hpp>

namespace savorywheel {

/** @brief Receives the outcome of each attempt on the traffic threads; must not block. */
class call_observer {
public:
    call_observer() = default;
    call_observer(const call_observer&) = delete;
    call_observer& operator=(const call_observer&) = delete;
    call_observer(call_observer&&) = delete;
    call_observer& operator=(call_observer&&) = delete;
    virtual ~call_observer() = default;

    virtual void on_attempt(const call_observation& observation) = 0;
};

} // namespace savorywheel

#endif
