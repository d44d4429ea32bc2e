#ifndef SAVORYWHEEL_QUOTA_QUOTA_GRANT_ITEM_HPP
#define SAVORYWHEEL_QUOTA_QUOTA_GRANT_ITEM_HPP

#include <cstdint>

namespace savorywheel {

/** @brief Decision of a coordinator about a tenant. */
enum class quota_grant_state : std::uint8_t {
    granted,   /**< All tokens requested. */
    exhausted, /**< Fewer, as the tenant has used its quota. */
    unknown,   /**< The coordinator does not know the tenant, or grants nothing yet. */
    last_state = unknown
};

/** @brief Tokens that a node receives for a tenant. */
struct quota_grant_item {
    /** @brief tenant_entry::id. */
    std::uint64_t tenant{};
    quota_grant_state state{quota_grant_state::granted};
    std::uint32_t tokens{};
    /** @brief Time after which the bucket has a token again; zero if all were granted. */
    std::uint32_t retry_after_ms{};

    [[nodiscard]] friend bool operator==(const quota_grant_item&,
                                         const quota_grant_item&) = default;
};

} // namespace savorywheel

#endif
