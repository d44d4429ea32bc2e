#ifndef SAVORYWHEEL_QUOTA_REFUND_LIMIT_HPP
#define SAVORYWHEEL_QUOTA_REFUND_LIMIT_HPP

#include <savorywheel/quota/quota_terms.hpp>
#include <savorywheel/quota/token_bucket.hpp>

#include <array>
#include <optional>

namespace savorywheel {

/** @brief Longest time since the last grant to a node for a request with refunds of used tokens. */
inline constexpr std::chrono::milliseconds max_refund_delay{2000};

/** @brief Longest time between the use of a token and its refund by the coordinator. */
inline constexpr std::chrono::milliseconds max_refund_age = token_lifetime + max_refund_delay;

/**
 * @brief Bounds the level of a tenant's bucket after refunds of used tokens.
 *
 * A token that was used, and whose request then did not run, makes room in windows that contain its
 * use, but not in those that begin later. So the level may grow only up to what a bucket has that
 * was full at any time since the use. Keeps two such buckets, filled in turns; the older one was
 * full at least max_refund_age ago.
 */
class refund_limit {
public:
    /** @param start Time before which no token was issued; no refund soon after it. */
    refund_limit(double capacity, duration start) noexcept
        : older_{start, {capacity, start}}, newer_{older_}
    {
    }

    /**
     * @brief Records issued tokens.
     * @param room Most tokens in the bucket before they are issued.
     */
    void issue(double rate, double room, double tokens, duration now) noexcept
    {
        refresh(rate, room, now);
        older_.tokens.take(tokens);
        newer_.tokens.take(tokens);
    }

    /** @return Level up to which refunds may fill the tenant's bucket. */
    [[nodiscard]] std::optional<double> level(double rate, double room, duration now) noexcept
    {
        refresh(rate, room, now);
        return now - older_.full_at >= max_refund_age ? std::optional{older_.tokens.level()}
                                                      : std::nullopt;
    }

private:
    struct bucket {
        duration full_at;
        token_bucket tokens;
    };

    void refresh(double rate, double room, duration now) noexcept
    {
        older_.tokens.fill(rate, room, now);
        newer_.tokens.fill(rate, room, now);
        if (now - newer_.full_at >= max_refund_age) {
            older_ = newer_;
            newer_ = {now, {room, now}};
        }
    }

    bucket older_;
    bucket newer_;
};

} // namespace savorywheel

#endif
