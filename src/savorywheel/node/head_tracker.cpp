#include <savorywheel/node/head_tracker.hpp>

#include <algorithm>
#include <utility>

namespace savorywheel {

void head_tracker::record(const network_endpoint& peer, config_version head)
{
    heads_.insert_or_assign(peer, head);
}

void head_tracker::forget(const network_endpoint& peer)
{
    heads_.erase(peer);
}

std::vector<domain_status> head_tracker::summarize(std::span<const member_update> members) const
{
    std::map<failure_domain, domain_status> domains;
    for (const auto& member : members) {
        if (member.status == member_status::dead) {
            continue;
        }
        auto& status = domains[member.record.domain];
        status.domain = member.record.domain;
        status.region = member.record.region;
        add(status, member.record.peer);
    }
    std::vector<domain_status> result;
    result.reserve(domains.size());
    for (auto& [name, status] : domains) {
        result.push_back(std::move(status));
    }
    return result;
}

void head_tracker::add(domain_status& status, const network_endpoint& peer) const
{
    ++status.nodes;
    const auto found = heads_.find(peer);
    if (found == heads_.end()) {
        return;
    }
    status.lowest = status.heard == 0 ? found->second : std::min(status.lowest, found->second);
    status.highest = std::max(status.highest, found->second);
    ++status.heard;
}

} // namespace savorywheel
