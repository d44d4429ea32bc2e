#ifndef SAVORYWHEEL_DISTRIBUTION_SPREAD_POSITION_HPP
#define SAVORYWHEEL_DISTRIBUTION_SPREAD_POSITION_HPP

#include <savorywheel/core/names.hpp>

namespace savorywheel {

/** @brief A node and its region. */
struct spread_position {
    node_id node;
    region_name region;
};

} // namespace savorywheel

#endif
