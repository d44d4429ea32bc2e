#ifndef SAVORYWHEEL_TRAFFIC_QUOTA_TOKEN_HPP
#define SAVORYWHEEL_TRAFFIC_QUOTA_TOKEN_HPP

#include <savorywheel/core/clock.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief Token of a tenant's quota that a request has used. */
struct quota_token {
    /** @brief When it expires, since the start of the VM. */
    duration expires{};
    /** @brief Reports of this node about the tenant before the token was used. */
    std::uint64_t reports{};
};

} // namespace savorywheel

#endif
