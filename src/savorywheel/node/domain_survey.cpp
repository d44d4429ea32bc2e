#include <savorywheel/node/domain_survey.hpp>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

void add_head(domain_status& status, config_version head)
{
    status.lowest = status.heard == 0 ? head : std::min(status.lowest, head);
    status.highest = std::max(status.highest, head);
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
domain_survey::summarize(const std::map<network_endpoint, config_version>& heads) const
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
        if (const auto head = heads.find(member.record.peer); head != heads.end()) {
            add_head(status, head->second);
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
