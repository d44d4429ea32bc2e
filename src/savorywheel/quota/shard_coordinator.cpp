#include <savorywheel/quota/shard_coordinator.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <optional>
#include <string_view>

namespace savorywheel {

namespace {

/** A crashed coordinator is missed for this long; a renewal every third of it. */
constexpr std::chrono::milliseconds lease_lifetime{2500};
/** Note in the lease of a coordinator whose ledger is settled. */
constexpr std::string_view settled_note{"settled"};

lease_record with_lifetime(lease_record record)
{
    record.lifetime = lease_lifetime;
    return record;
}

/**
 * Returns how long tokens of ledgers before the predecessor's may still be valid. They were issued
 * before it began, and another node's lease lasted for its lifetime at least unless it was
 * released; that of an earlier process of this node is not waited for.
 */
duration wait_after(const std::optional<lease_record>& predecessor, const node_id& self)
{
    if (!predecessor || predecessor->note == settled_note) {
        return duration::zero();
    }
    return predecessor->holder == self
               ? duration{token_lifetime}
               : token_lifetime - std::min<duration>(predecessor->lifetime, token_lifetime);
}

} // namespace

shard_coordinator::shard_coordinator(std::uint32_t shard, const lease_record& self, environment env)
    : shard_{shard}, self_{with_lifetime(self)}, environment_{env},
      suspension_{env.leases.loop.time()}, lease_{fmt::format("leases/quota-{}", shard), self_,
                                                  env.leases, [this](bool held) { on_lease(held); }}
{
}

void shard_coordinator::compete(bool candidate)
{
    if (candidate) {
        lease_.start();
    }
    else if (!lease_.held()) {
        lease_.stop();
    }
}

void shard_coordinator::stop()
{
    lease_.stop();
}

void shard_coordinator::on_lease(bool held)
{
    environment_.log.write(held ? event_id::quota_lease_gained : event_id::quota_lease_lost,
                           fmt::format("shard {}", shard_));
    if (held) {
        begin(wait_after(lease_.predecessor(), self_.holder));
    }
    else {
        ledger_.reset();
        lease_.set_note({});
    }
}

void shard_coordinator::begin(duration wait)
{
    const auto id = 1 + environment_.leases.random.below(std::numeric_limits<std::uint64_t>::max());
    ledger_.emplace(id, environment_.leases.loop.time().since_boot(), wait);
    lease_.set_note({});
}

/**
 * The lease is measured on the monotonic clock. After the VM was suspended, another node may have
 * coordinated the shard meanwhile, so that this one begins anew, and not before a renewal that
 * began after the suspension.
 */
bool shard_coordinator::coordinates()
{
    if (suspension_.suspended()) {
        lease_.stop();
        lease_.start();
    }
    return lease_.held() && ledger_ && suspension_.quiet_for(lease_lifetime);
}

void shard_coordinator::maintain()
{
    if (!coordinates()) {
        return;
    }
    const auto now = environment_.leases.loop.time().since_boot();
    if (ledger_->settled(now)) {
        lease_.set_note(std::string{settled_note});
    }
    ledger_->forget_silent(now);
}

std::optional<quota_grant> shard_coordinator::answer(const quota_request& request,
                                                     const tenant_limits& limits)
{
    if (coordinates()) {
        auto grant = ledger_->decide(request, environment_.leases.loop.time().since_boot(), limits);
        if (grant) {
            grant->coordinator = self_.peer;
        }
        return grant;
    }
    quota_grant none;
    none.shard = shard_;
    none.session = request.session;
    none.sequence = request.sequence;
    none.coordinator = hint();
    return none;
}

network_endpoint shard_coordinator::hint() const
{
    const auto& last = lease_.observed();
    const bool usable =
        last && last->lifetime > std::chrono::milliseconds::zero() && last->holder != self_.holder;
    return usable ? last->peer : network_endpoint{};
}

} // namespace savorywheel
