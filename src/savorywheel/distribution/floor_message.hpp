#ifndef SAVORYWHEEL_DISTRIBUTION_FLOOR_MESSAGE_HPP
#define SAVORYWHEEL_DISTRIBUTION_FLOOR_MESSAGE_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/names.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief Lowest configuration version that a node may use. */
struct floor_message {
    /** @brief The node. */
    node_id node;
    /** @brief The version; zero if none is known. */
    config_version version;
    /** @brief True if the sender has settled its own floor, so that its memory is complete. */
    bool floor_known{};
    /** @brief Live members that the sender knows. */
    std::uint32_t live_members{};
};

} // namespace savorywheel

#endif
