#ifndef SAVORYWHEEL_TRAFFIC_QUOTA_DECISION_HPP
#define SAVORYWHEEL_TRAFFIC_QUOTA_DECISION_HPP

#include <savorywheel/traffic/quota_token.hpp>

#include <chrono>
#include <cstdint>

namespace savorywheel {

/** @brief Whether a request is within the quota of its tenant. */
struct quota_decision {
    enum class result : std::uint8_t {
        granted,   /**< The request counts towards the quota. */
        exhausted, /**< The tenant has used its quota. */
        unknown,   /**< This node does not know at the moment. */
    };

    result outcome{result::granted};
    /** @brief Time after which a retry would be granted; zero if granted. */
    std::chrono::milliseconds retry_after{};
    /** @brief Token of the request, if granted. */
    quota_token token{};
};

} // namespace savorywheel

#endif
