#include <savorywheel/node/domain_survey.hpp>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

void add_version(domain_status& status, config_version version)
{
    status.lowest = status.heard == 0 ? version : std::min(status.lowest, version);
    status.highest = std::max(status.highest, version);
    ++status.heard;
}

} // namespace

std::vector<network_endpoint> domain_survey::sample() const
{
    std::map<failure_domain, std::size_t> chosen;
    std::vector<network_endpoint> peers;
    for (const auto& member : members_) {
        if (member.status == member_status::alive &&
            chosen[member.record.domain]++ < surveyed_nodes_per_domain) {
            peers.push_back(member.record.peer);
        }
    }
    return peers;
}

std::vector<domain_status>
domain_survey::summarize(const std::map<network_endpoint, config_version>& versions) const
{
    std::map<failure_domain, domain_status> domains;
    for (const auto& member : members_) {
        if (member.status == member_status::dead) {
            continue;
        }
        auto& status = domains[member.record.domain];
        status.domain = member.record.domain;
        status.region = member.record.region;
        ++status.nodes;
        if (const auto version = versions.find(member.record.peer); version != versions.end()) {
            add_version(status, version->second);
        }
    }
    std::vector<domain_status> result;
    result.reserve(domains.size());
    for (auto& [name, status] : domains) {
        result.push_back(std::move(status));
    }
    return result;
}

} // namespace savorywheel
