#include <savorywheel/quota/shared_quota.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace savorywheel {

namespace {

using std::chrono::milliseconds;

/** Covers a round trip between regions (41 ms) and one retransmission (150 ms). */
constexpr milliseconds max_wait{200};
/** Between requests to a shard while there are tokens; half of what a stock lasts at least. */
constexpr milliseconds request_gap{100};
/** The same while requests wait. */
constexpr milliseconds urgent_request_gap{20};
/** A change of the coordinator takes a few seconds; callers should not all return at its end. */
constexpr milliseconds unknown_retry_after{500};
/** Each holds a request in memory; more arrive in max_wait only at a node without a coordinator. */
constexpr std::size_t max_waiting = 1024;
/** A single one may be due to lost datagrams. */
constexpr unsigned failures_of_unreachable = 2;

} // namespace

std::optional<quota_token> shared_quota::try_acquire(const tenant_entry& tenant)
{
    const auto token = stock_.take(tenant.id, environment_.time.since_boot());
    if (token) {
        environment_.metrics.record(quota_decision::result::granted);
        environment_.metrics.set_tokens(stock_.size());
        schedule_request(stock_.shard_of(tenant.id));
    }
    return token;
}

void shared_quota::acquire(const tenant_entry& tenant, callback decided)
{
    const auto now = environment_.time.since_boot();
    if (stock_.refused_until(tenant.id) > now) {
        decide(decided, refusal(tenant.id, now));
        return;
    }
    const auto shard = stock_.shard_of(tenant.id);
    auto& state = shards_[shard];
    stock_.begin_wait(tenant.id);
    schedule_request(shard);
    if (unreachable(state) || waiting_ >= max_waiting) {
        stock_.end_wait(tenant.id);
        decide(decided, {quota_decision::result::unknown, unknown_retry_after, {}});
        return;
    }
    ++waiting_;
    state.waiting.push_back({tenant.id, environment_.time.now() + max_wait, std::move(decided)});
    if (state.waiting.size() == 1) {
        schedule_expiry(shard);
    }
}

void shared_quota::give_back(const tenant_entry& tenant, const quota_token& token)
{
    stock_.put_back(tenant.id, token, environment_.time.since_boot());
}

void shared_quota::on_grant(std::uint32_t shard, std::vector<quota_grant_item> items,
                            duration sent_at)
{
    environment_.loop.post([this, shard, granted = std::move(items), sent_at] {
        auto& state = shards_.at(shard);
        state.request_open = false;
        state.failures = 0;
        stock_.receive(granted, sent_at, environment_.time.since_boot());
        environment_.metrics.record_grant();
        environment_.metrics.set_tokens(stock_.size());
        settle(shard);
        schedule_request(shard);
    });
}

void shared_quota::on_no_coordinator(std::uint32_t shard)
{
    environment_.loop.post([this, shard] {
        auto& state = shards_.at(shard);
        state.request_open = false;
        ++state.failures;
        settle(shard);
        schedule_request(shard);
    });
}

bool shared_quota::unreachable(const shard_state& shard) noexcept
{
    return shard.failures >= failures_of_unreachable;
}

quota_decision shared_quota::refusal(std::uint64_t tenant, duration now) const
{
    const auto wait = std::chrono::ceil<milliseconds>(stock_.exhausted_until(tenant) - now);
    return {quota_decision::result::exhausted, std::max(wait, milliseconds{1}), {}};
}

void shared_quota::decide(const callback& decided, const quota_decision& decision)
{
    environment_.metrics.record(decision.outcome);
    decided(decision);
}

void shared_quota::schedule_request(std::uint32_t shard)
{
    auto& state = shards_[shard];
    if (state.request_open || !stock_.has_requests(shard)) {
        return;
    }
    const auto now = environment_.time.now();
    const bool urgent = !state.waiting.empty() && !unreachable(state);
    const auto due = state.last_request == monotonic_time::min()
                         ? now
                         : state.last_request + (urgent ? urgent_request_gap : request_gap);
    if (due <= now) {
        send_request(shard);
    }
    else if (due < state.next_request) {
        state.next_request = due;
        state.request_timer =
            environment_.loop.after(due - now, [this, shard] { send_request(shard); });
    }
}

void shared_quota::send_request(std::uint32_t shard)
{
    auto& state = shards_[shard];
    state.request_timer.reset();
    state.next_request = monotonic_time::max();
    const auto now = environment_.time.since_boot();
    auto items = stock_.prepare(shard, now);
    if (!items.empty()) {
        state.request_open = true;
        state.last_request = environment_.time.now();
        requests_->request(shard, std::move(items), now);
    }
}

void shared_quota::schedule_expiry(std::uint32_t shard)
{
    auto& state = shards_[shard];
    state.expiry_timer = environment_.loop.after(
        state.waiting.front().expires - environment_.time.now(), [this, shard] { settle(shard); });
}

void shared_quota::settle(std::uint32_t shard)
{
    auto& state = shards_[shard];
    // A response may let the next request of its connection begin to wait.
    auto waiting = std::exchange(state.waiting, {});
    std::deque<waiting_request> kept;
    for (auto& item : waiting) {
        if (const auto decision = decision_of(item, state)) {
            --waiting_;
            decide(item.decided, *decision);
        }
        else {
            kept.push_back(std::move(item));
        }
    }
    state.waiting.insert(state.waiting.begin(), std::make_move_iterator(kept.begin()),
                         std::make_move_iterator(kept.end()));
    if (!state.waiting.empty()) {
        schedule_expiry(shard);
    }
}

std::optional<quota_decision> shared_quota::decision_of(const waiting_request& item,
                                                        const shard_state& shard)
{
    const auto now = environment_.time.since_boot();
    if (const auto token = stock_.take_for_waiting(item.tenant, now)) {
        return quota_decision{quota_decision::result::granted, {}, *token};
    }
    if (stock_.refused_until(item.tenant) > now) {
        stock_.end_wait(item.tenant);
        return refusal(item.tenant, now);
    }
    if (unreachable(shard) || environment_.time.now() >= item.expires) {
        stock_.end_wait(item.tenant);
        return quota_decision{quota_decision::result::unknown, unknown_retry_after, {}};
    }
    return std::nullopt;
}

} // namespace savorywheel
