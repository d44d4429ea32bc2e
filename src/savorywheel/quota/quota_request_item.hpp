#ifndef SAVORYWHEEL_QUOTA_QUOTA_REQUEST_ITEM_HPP
#define SAVORYWHEEL_QUOTA_QUOTA_REQUEST_ITEM_HPP

#include <cstdint>

namespace savorywheel {

/** @brief What a node tells and requests for a tenant. */
struct quota_request_item {
    /** @brief tenant_entry::id. */
    std::uint64_t tenant{};
    /** @brief Tokens requested. */
    std::uint32_t wanted{};
    /** @brief Valid tokens at the node; those it no longer has are used, expired or lost. */
    std::uint32_t held{};
    /** @brief Tokens used since the last request that was answered; never too few. */
    std::uint32_t used{};
    /** @brief Tokens reported as used earlier whose requests were then not run. */
    std::uint32_t not_run{};

    [[nodiscard]] friend bool operator==(const quota_request_item&,
                                         const quota_request_item&) = default;
};

} // namespace savorywheel

#endif
