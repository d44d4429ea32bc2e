#include <savorywheel/quota/tenant_ledger.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace savorywheel {

namespace {

/** When nodes hold all tokens that may be outstanding: about when they report again. */
constexpr double outstanding_retry_ms = 100;
/** A longer time tells a caller nothing more. */
constexpr double max_retry_ms = 60'000;

} // namespace

void tenant_ledger::set_terms(const quota_terms& terms, duration now) noexcept
{
    bucket_.fill(terms_.rate, room(), now);
    refunds_.issue(terms_.rate, room(), 0, now);
    terms_ = terms;
}

quota_grant_item tenant_ledger::decide(std::uint64_t session, const quota_request_item& item,
                                       const circumstances& when)
{
    // The bucket has filled while the tokens were outstanding that are about to be subtracted.
    fill(when);
    expire(when.now);
    auto& owner = holding_of(session);
    apply_report(owner, item, when);
    fill(when);
    quota_grant_item result;
    result.tenant = item.tenant;
    result.tokens = std::min(item.wanted, available());
    if (result.tokens < item.wanted) {
        result.state = quota_grant_state::exhausted;
    }
    bucket_.take(result.tokens);
    refunds_.issue(terms_.rate, room(), result.tokens, when.now);
    outstanding_ += result.tokens;
    owner.tokens += result.tokens;
    owner.expires = when.now + token_lifetime;
    if (result.state == quota_grant_state::exhausted) {
        result.retry_after_ms = retry_after_ms();
    }
    return result;
}

void tenant_ledger::expire(duration now)
{
    std::erase_if(holdings_, [&](const holding& item) {
        const bool expired = item.expires <= now;
        outstanding_ -= expired ? item.tokens : 0;
        return expired;
    });
}

tenant_ledger::holding& tenant_ledger::holding_of(std::uint64_t session)
{
    const auto found = std::ranges::find(holdings_, session, &holding::session);
    return found == holdings_.end() ? holdings_.emplace_back(holding{session, 0, {}}) : *found;
}

/**
 * The node decided about the report when it had taken in all its earlier grants, so what it does
 * not hold it cannot use any more. Tokens that it neither holds nor used go back into the bucket.
 */
void tenant_ledger::apply_report(holding& owner, const quota_request_item& item,
                                 const circumstances& when)
{
    const auto kept = std::min(owner.tokens, item.held);
    const auto gone = owner.tokens - kept;
    outstanding_ -= gone;
    owner.tokens = kept;
    bucket_.add(gone - std::min(gone, item.used), room());
    if (item.not_run == 0 || !when.recent) {
        return;
    }
    if (const auto limit = refunds_.level(terms_.rate, room(), when.now)) {
        const auto level = bucket_.level();
        bucket_.add(std::clamp(*limit - level, 0.0, static_cast<double>(item.not_run)), room());
    }
}

/**
 * The bucket fills only as far as it and the tokens at nodes stay within the total. While tokens of
 * the previous coordinator may be valid, the total is smaller by as many as there can be of them.
 */
void tenant_ledger::fill(const circumstances& when) noexcept
{
    bucket_.fill(terms_.rate, room(), when.now);
    refunds_.issue(terms_.rate, room(), 0, when.now);
    if (when.after_change) {
        const double excess =
            bucket_.level() + static_cast<double>(outstanding_) - terms_.total_after_change;
        bucket_.take(std::clamp(excess, 0.0, std::max(0.0, bucket_.level())));
    }
}

double tenant_ledger::room() const noexcept
{
    return std::min(terms_.capacity, terms_.total - static_cast<double>(outstanding_));
}

std::uint32_t tenant_ledger::available() const noexcept
{
    const double tokens =
        std::min(bucket_.level(), terms_.max_outstanding - static_cast<double>(outstanding_));
    constexpr double most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp(std::floor(tokens), 0.0, most));
}

std::uint32_t tenant_ledger::retry_after_ms() const noexcept
{
    const double missing = 1 - bucket_.level();
    const double wait = missing <= 0 ? outstanding_retry_ms : missing / terms_.rate * 1000;
    return static_cast<std::uint32_t>(std::clamp(std::ceil(wait), 1.0, max_retry_ms));
}

} // namespace savorywheel
