#ifndef SAVORYWHEEL_DISTRIBUTION_FLOOR_MESSAGE_HPP
#define SAVORYWHEEL_DISTRIBUTION_FLOOR_MESSAGE_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/names.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief Version floor of a node: the lowest configuration version that it may use. */
struct floor_message {
    /** @brief Owner of the floor. */
    node_id node;
    /** @brief The floor; zero if the sender stores none. */
    config_version version;
    /** @brief True if the sender has recovered its own floor, so its stored floors are complete. */
    bool floor_known{};
    /** @brief Number of live members in the sender's member table. */
    std::uint32_t live_members{};
};

} // namespace savorywheel

#endif
