#ifndef SAVORYWHEEL_ROLLOUT_WITHDRAWAL_NOTICE_HPP
#define SAVORYWHEEL_ROLLOUT_WITHDRAWAL_NOTICE_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/names.hpp>

#include <string>

namespace savorywheel {

/**
 * @brief Instructs every node to send no traffic to the new version of one move.
 *
 * It spreads without the platform's service and is recorded as a commit once that service answers.
 * It is never revoked: a later move has a different asked_at.
 */
struct withdrawal_notice {
    service_name service;
    /** @brief Version of the commit that requested the move. */
    config_version asked_at;
    /** @brief Issuing node; root of the broadcast tree. */
    node_id issuer;
    /** @brief Explanation for operators. */
    std::string reason;
};

} // namespace savorywheel

#endif
