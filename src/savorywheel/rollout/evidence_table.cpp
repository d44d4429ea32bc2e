#include <savorywheel/rollout/evidence_table.hpp>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

constexpr std::size_t max_failed_nodes = 16;

} // namespace

route_evidence& evidence_table::entry(const service_name& service, const version_name& version,
                                      std::string_view route, bool other_region)
{
    const auto [found, created] =
        entries_.try_emplace(key{service, version, std::string{route}, other_region});
    if (created) {
        found->second.service = service;
        found->second.version = version;
        found->second.route = route;
        found->second.other_region = other_region;
    }
    return found->second;
}

void evidence_table::add(const route_evidence& item)
{
    auto& sum = entry(item.service, item.version, item.route, item.other_region);
    sum.calls += item.calls;
    sum.failures += item.failures;
    sum.latencies.add(item.latencies);
    for (const auto& node : item.failed_at) {
        if (sum.failed_at.size() < max_failed_nodes &&
            std::ranges::find(sum.failed_at, node) == sum.failed_at.end()) {
            sum.failed_at.push_back(node);
        }
    }
}

std::vector<route_evidence> evidence_table::extract(const service_name& service)
{
    std::vector<route_evidence> extracted;
    for (auto item = entries_.lower_bound(key{service, {}, {}, false});
         item != entries_.end() && std::get<0>(item->first) == service;) {
        extracted.push_back(std::move(item->second));
        item = entries_.erase(item);
    }
    return extracted;
}

std::vector<route_evidence> evidence_table::all() const
{
    std::vector<route_evidence> items;
    items.reserve(entries_.size());
    for (const auto& [name, item] : entries_) {
        items.push_back(item);
    }
    return items;
}

std::vector<route_evidence> evidence_table::extract_all()
{
    std::vector<route_evidence> extracted;
    extracted.reserve(entries_.size());
    for (auto& [name, item] : entries_) {
        extracted.push_back(std::move(item));
    }
    entries_.clear();
    return extracted;
}

} // namespace savorywheel
