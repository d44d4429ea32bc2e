#include <savorywheel/quota/quota_exchange.hpp>

#include <fmt/format.h>

#include <utility>

namespace savorywheel {

namespace {

/** Three round trips between regions. */
constexpr std::chrono::milliseconds retransmission_delay{150};
/** Each candidate is asked twice. */
constexpr unsigned max_attempts = 4;
/** Attempts at the coordinator of the last request, before others are asked. */
constexpr unsigned attempts_at_known = 2;
/** A node that is no coordinator may name another one, which may be as wrong. */
constexpr unsigned max_redirections = 2;

} // namespace

quota_exchange::quota_exchange(std::uint32_t shards, network_endpoint self, std::uint64_t session,
                               environment env)
    : self_{std::move(self)}, session_{session}, environment_{std::move(env)}, shards_(shards)
{
}

void quota_exchange::request(std::uint32_t shard, std::vector<quota_request_item> items,
                             duration sent_at)
{
    auto& state = shards_.at(shard);
    quota_request message;
    message.shard = shard;
    message.session = session_;
    message.sequence = ++state.sequence;
    message.sender_peer = self_;
    message.last_ledger = state.last_ledger;
    message.last_time_ms = state.last_time_ms;
    message.items = std::move(items);
    state.open = std::move(message);
    state.sent_at = sent_at;
    state.attempts = 0;
    state.redirections = 0;
    attempt(shard);
}

void quota_exchange::attempt(std::uint32_t shard)
{
    auto& state = shards_[shard];
    if (state.attempts == max_attempts) {
        fail(shard);
        return;
    }
    const auto number = state.attempts++;
    state.timer =
        environment_.timers.after(retransmission_delay, [this, shard] { attempt(shard); });
    if (state.coordinator.port != 0 && number < attempts_at_known) {
        send(shard, state.coordinator);
        return;
    }
    const auto candidates = environment_.candidates(shard);
    if (!candidates.empty()) {
        send(shard, candidates[number % candidates.size()]);
    }
}

void quota_exchange::send(std::uint32_t shard, const network_endpoint& peer)
{
    auto& state = shards_[shard];
    state.asked = peer;
    environment_.send(peer, *state.open);
}

void quota_exchange::receive(const quota_grant& grant)
{
    if (grant.shard >= shards_.size() || grant.session != session_) {
        return;
    }
    const auto& state = shards_[grant.shard];
    if (!state.open || state.open->sequence != grant.sequence) {
        return;
    }
    if (grant.ledger == 0) {
        redirect(grant.shard, grant.coordinator);
        return;
    }
    finish(grant.shard, grant);
}

/** Follows the hint of a node that is no coordinator; without one, the next attempt is due. */
void quota_exchange::redirect(std::uint32_t shard, const network_endpoint& peer)
{
    auto& state = shards_[shard];
    if (state.coordinator == state.asked) {
        state.coordinator = {};
    }
    if (peer.port != 0 && peer != state.asked && state.redirections < max_redirections) {
        ++state.redirections;
        send(shard, peer);
    }
}

void quota_exchange::finish(std::uint32_t shard, const quota_grant& grant)
{
    auto& state = shards_[shard];
    state.timer.reset();
    state.open.reset();
    state.coordinator = grant.coordinator;
    state.last_ledger = grant.ledger;
    state.last_time_ms = grant.time_ms;
    set_unreachable(shard, false);
    environment_.grants.on_grant(shard, grant.items, state.sent_at);
}

void quota_exchange::fail(std::uint32_t shard)
{
    auto& state = shards_[shard];
    state.timer.reset();
    state.open.reset();
    state.coordinator = {};
    set_unreachable(shard, true);
    environment_.grants.on_no_coordinator(shard);
}

void quota_exchange::set_unreachable(std::uint32_t shard, bool unreachable)
{
    if (std::exchange(shards_[shard].unreachable, unreachable) != unreachable) {
        environment_.log.write(unreachable ? event_id::quota_unknown : event_id::quota_known,
                               fmt::format("shard {}", shard));
    }
}

} // namespace savorywheel
