#ifndef SAVORYWHEEL_ROLLOUT_WITHDRAWAL_NOTICE_HPP
#define SAVORYWHEEL_ROLLOUT_WITHDRAWAL_NOTICE_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/names.hpp>

#include <string>

namespace savorywheel {

/**
 * @brief Tells every node to send the new version of one move no traffic.
 *
 * It needs no platform's service, and is recorded as a commit when that answers. It is never taken
 * back: a later move has another version at which it was asked for.
 */
struct withdrawal_notice {
    /** @brief Service. */
    service_name service;
    /** @brief Version of the commit that asked for the move. */
    config_version asked_at;
    /** @brief Node that issued it; root of the tree by which it spreads. */
    node_id issuer;
    /** @brief Why, for operators. */
    std::string reason;
};

} // namespace savorywheel

#endif
