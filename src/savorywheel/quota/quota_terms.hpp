#ifndef SAVORYWHEEL_QUOTA_QUOTA_TERMS_HPP
#define SAVORYWHEEL_QUOTA_QUOTA_TERMS_HPP

#include <savorywheel/quota/quota_settings.hpp>

#include <chrono>

namespace savorywheel {

/**
 * @brief Time for which a token is valid, from the time at which its node sent the request.
 *
 * Longer than a change of coordinators, which takes the lifetime of a lease (2.5 s) and a poll, and
 * shorter than the window of 5 s, after which a lowered limit applies.
 */
inline constexpr std::chrono::milliseconds token_lifetime{4000};

/** @brief Limits of a tenant as its coordinator applies them. */
struct quota_terms {
    /** @brief Tokens that the bucket gains per second. */
    double rate{};
    /** @brief Most tokens in the bucket. */
    double capacity{};
    /** @brief Most tokens in the bucket and at nodes together. */
    double total{};
    /** @brief Most tokens that nodes may hold at the same time. */
    double max_outstanding{};
    /** @brief The total while tokens of a previous coordinator may be valid. */
    double total_after_change{};

    [[nodiscard]] friend bool operator==(const quota_terms&, const quota_terms&) = default;
};

/**
 * @brief Derives the limits of a tenant.
 *
 * rate * window + total is at most (rate * window + burst) * (1 + over) + slack, if that leaves
 * room for one token: what is used in a window was at nodes at its start, or in the bucket, or was
 * added since. max_outstanding and total_after_change are at most the total together.
 * @param rate Requests per second at all nodes together.
 * @param burst Requests beyond the rate.
 */
[[nodiscard]] quota_terms make_quota_terms(const quota_settings& settings, double rate,
                                           double burst) noexcept;

} // namespace savorywheel

#endif
