#include <savorywheel/quota/quota_ledger.hpp>

#include <utility>

namespace savorywheel {

namespace {

/** No network delays or repeats a datagram for longer, and no token is valid for as long. */
constexpr std::chrono::minutes session_memory{1};

} // namespace

std::optional<quota_grant> quota_ledger::decide(const quota_request& request, duration now,
                                                const tenant_limits& limits)
{
    auto& session = sessions_[request.session];
    session.last_request = now;
    if (request.sequence <= session.sequence) {
        return request.sequence == session.sequence ? std::optional{session.grant} : std::nullopt;
    }
    session.sequence = request.sequence;
    quota_grant grant;
    grant.shard = request.shard;
    grant.session = request.session;
    grant.sequence = request.sequence;
    grant.ledger = id_;
    grant.time_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now - start_).count());
    const tenant_ledger::circumstances when{now, !settled(now), is_recent(request, now)};
    for (const auto& item : request.items) {
        grant.items.push_back(decide_item(request.session, item, when, limits));
    }
    session.grant = grant;
    return grant;
}

quota_grant_item quota_ledger::decide_item(std::uint64_t session, const quota_request_item& item,
                                           const tenant_ledger::circumstances& when,
                                           const tenant_limits& limits)
{
    const auto* terms = limits.find(item.tenant);
    if (terms == nullptr || when.now < grants_from_) {
        return {item.tenant, quota_grant_state::unknown, 0, 0};
    }
    auto& tenant =
        tenants_.try_emplace(item.tenant, tenant_ledger{*terms, grants_from_}).first->second;
    tenant.set_terms(*terms, when.now);
    return tenant.decide(session, item, when);
}

/** The node built the request after it had received the grant that the request names. */
bool quota_ledger::is_recent(const quota_request& request, duration now) const noexcept
{
    return request.last_ledger == id_ &&
           start_ + std::chrono::milliseconds{request.last_time_ms} >= now - max_refund_delay;
}

void quota_ledger::forget_silent(duration now)
{
    std::erase_if(sessions_, [now](const auto& item) {
        return now - item.second.last_request >= session_memory;
    });
}

} // namespace savorywheel
