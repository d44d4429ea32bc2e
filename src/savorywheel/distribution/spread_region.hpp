#ifndef SAVORYWHEEL_DISTRIBUTION_SPREAD_REGION_HPP
#define SAVORYWHEEL_DISTRIBUTION_SPREAD_REGION_HPP

#include <savorywheel/core/names.hpp>

#include <vector>

namespace savorywheel {

/** @brief Live nodes of a region. */
struct spread_region {
    region_name name;
    /** @brief Nodes in ascending order. */
    std::vector<node_id> members;
};

} // namespace savorywheel

#endif
