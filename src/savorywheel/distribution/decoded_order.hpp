#ifndef SAVORYWHEEL_DISTRIBUTION_DECODED_ORDER_HPP
#define SAVORYWHEEL_DISTRIBUTION_DECODED_ORDER_HPP

#include <savorywheel/config/rollout_order.hpp>
#include <savorywheel/core/failure.hpp>

namespace savorywheel {

/** @brief Rollout order as decoded from the object store. */
struct decoded_order {
    rollout_order order;
    /** @brief Why the stored record was discarded; its code is none if it was not. */
    failure record_failure;
};

} // namespace savorywheel

#endif
