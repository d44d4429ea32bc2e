#include <savorywheel/quota/quota_terms.hpp>
#include <savorywheel/quota/tenant_stock.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace savorywheel {

namespace {

/** A third of a second between requests, and what low_seconds covers. */
constexpr double stock_seconds = 0.5;
/** A lost datagram, its retransmission after 150 ms, and a round trip between regions. */
constexpr double low_seconds = 0.2;
/**
 * Below this rate, spare tokens expire too often before the next request: a tenant of 5 per s whose
 * requests are spread over 83 nodes would lose one token for each that it uses.
 */
constexpr double min_rate_for_spare = 0.75;
/** From this rate on, one token more is used soon, and covers a grant that is lost. */
constexpr double min_rate_for_second_spare = 2;
constexpr double max_wanted = 1e6;
/** The limit may be raised, or tokens come back, before the time that the coordinator stated. */
constexpr std::chrono::milliseconds max_refusal{1000};

} // namespace

std::optional<quota_token> tenant_stock::take(duration now) noexcept
{
    demand_.record(now);
    return take_for_waiting(now);
}

std::optional<quota_token> tenant_stock::take_for_waiting(duration now) noexcept
{
    const auto expires = lots_.take(now);
    if (!expires) {
        return std::nullopt;
    }
    ++used_;
    return quota_token{*expires, reports_};
}

void tenant_stock::put_back(const quota_token& token, duration now) noexcept
{
    if (now >= token.expires) {
        return;
    }
    if (token.reports == reports_) {
        // The coordinator has not heard of the use.
        --used_;
        lots_.add(1, token.expires);
        return;
    }
    ++not_run_;
}

double tenant_stock::target(duration now) const noexcept
{
    const auto rate = demand_.per_second(now);
    if (rate < min_rate_for_spare) {
        return 0.0;
    }
    const double spare = rate >= min_rate_for_second_spare ? 1.0 : 0.0;
    return std::min(max_wanted, std::ceil(rate * stock_seconds) + spare);
}

bool tenant_stock::is_low(duration now) noexcept
{
    return now >= refused_until_ && lots_.count(now) < target(now) * (low_seconds / stock_seconds);
}

quota_request_item tenant_stock::report(std::uint64_t tenant, std::uint32_t waiting,
                                        duration now) noexcept
{
    ++reports_;
    quota_request_item item;
    item.tenant = tenant;
    item.held = lots_.count(now);
    item.used = used_;
    item.not_run = std::exchange(not_run_, 0);
    reported_used_ = used_;
    const auto needed = static_cast<std::uint32_t>(target(now)) + waiting;
    item.wanted = needed - std::min(needed, item.held);
    return item;
}

void tenant_stock::receive(const quota_grant_item& grant, duration sent_at, duration now) noexcept
{
    if (grant.state == quota_grant_state::unknown) {
        return;
    }
    used_ -= std::exchange(reported_used_, 0);
    lots_.add(grant.tokens, sent_at + token_lifetime);
    exhausted_until_ = grant.state == quota_grant_state::exhausted
                           ? now + std::chrono::milliseconds{grant.retry_after_ms}
                           : duration::zero();
    refused_until_ = std::min<duration>(exhausted_until_, now + max_refusal);
}

} // namespace savorywheel
