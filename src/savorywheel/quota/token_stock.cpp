#include <savorywheel/quota/quota_request.hpp>
#include <savorywheel/quota/token_stock.hpp>

#include <algorithm>

namespace savorywheel {

std::optional<quota_token> token_stock::take(std::uint64_t tenant, duration now)
{
    auto& item = entries_[tenant];
    const auto token = item.stock.take(now);
    if (item.stock.is_low(now)) {
        list(tenant, item);
    }
    if (token) {
        list_report(tenant, item);
    }
    count(item, now);
    return token;
}

std::optional<quota_token> token_stock::take_for_waiting(std::uint64_t tenant, duration now)
{
    auto& item = entries_[tenant];
    const auto token = item.stock.take_for_waiting(now);
    if (token) {
        --item.waiting;
        list_report(tenant, item);
        count(item, now);
    }
    return token;
}

void token_stock::begin_wait(std::uint64_t tenant)
{
    auto& item = entries_[tenant];
    ++item.waiting;
    list(tenant, item);
}

void token_stock::end_wait(std::uint64_t tenant)
{
    --entries_[tenant].waiting;
}

void token_stock::put_back(std::uint64_t tenant, const quota_token& token, duration now)
{
    auto& item = entries_[tenant];
    item.stock.put_back(token, now);
    count(item, now);
}

duration token_stock::exhausted_until(std::uint64_t tenant) const
{
    const auto found = entries_.find(tenant);
    return found == entries_.end() ? duration::zero() : found->second.stock.exhausted_until();
}

duration token_stock::refused_until(std::uint64_t tenant) const
{
    const auto found = entries_.find(tenant);
    return found == entries_.end() ? duration::zero() : found->second.stock.refused_until();
}

std::vector<quota_request_item> token_stock::prepare(std::uint32_t shard, duration now)
{
    auto& listed = lists_.at(shard);
    std::vector<quota_request_item> items;
    const auto end =
        listed.begin() + static_cast<std::ptrdiff_t>(std::min(listed.size(), max_quota_items));
    for (auto tenant = listed.begin(); tenant != end; ++tenant) {
        auto& item = entries_[*tenant];
        item.listed = false;
        // Tokens may have been returned since the tenant was listed.
        if (item.waiting > 0 || item.stock.is_low(now)) {
            items.push_back(item.stock.report(*tenant, item.waiting, now));
        }
    }
    listed.erase(listed.begin(), end);
    if (items.empty()) {
        return items;
    }
    // Use that the coordinator does not know of counts as tokens that this node may still use.
    auto& reports = reports_.at(shard);
    while (!reports.empty() && items.size() < max_quota_items) {
        const auto tenant = reports.back();
        reports.pop_back();
        auto& item = entries_[tenant];
        item.reported = false;
        if (item.stock.unreported() && !item.listed) {
            items.push_back(item.stock.report(tenant, item.waiting, now));
        }
    }
    return items;
}

void token_stock::receive(std::span<const quota_grant_item> grants, duration sent_at, duration now)
{
    for (const auto& grant : grants) {
        const auto found = entries_.find(grant.tenant);
        if (found != entries_.end()) {
            found->second.stock.receive(grant, sent_at, now);
            count(found->second, now);
        }
    }
}

void token_stock::list(std::uint64_t tenant, entry& item)
{
    if (!item.listed) {
        item.listed = true;
        lists_[shard_of(tenant)].push_back(tenant);
    }
}

void token_stock::list_report(std::uint64_t tenant, entry& item)
{
    if (!item.reported) {
        item.reported = true;
        reports_[shard_of(tenant)].push_back(tenant);
    }
}

void token_stock::count(entry& item, duration now) noexcept
{
    const auto tokens = item.stock.count(now);
    size_ = size_ - item.counted + tokens;
    item.counted = tokens;
}

} // namespace savorywheel
