#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/node/evidence_exchange.hpp>
#include <savorywheel/rollout/controller_candidates.hpp>
#include <savorywheel/rollout/live_members.hpp>

#include <algorithm>
#include <utility>

namespace savorywheel {

evidence_exchange::evidence_exchange(node_id self, environment surroundings)
    : self_{std::move(self)}, environment_{std::move(surroundings)}
{
}

bool evidence_exchange::is_candidate(const service_name& service)
{
    return std::ranges::find(candidates(service), self_) != candidates(service).end();
}

void evidence_exchange::send(const service_name& service, std::span<const route_evidence> evidence)
{
    if (evidence.empty()) {
        return;
    }
    const evidence_report report{{evidence.begin(), evidence.end()}};
    const auto payload = encode(report);
    for (const auto& node : candidates(service)) {
        const auto* entry = environment_.members().find(node);
        if (node == self_) {
            take(report);
        }
        else if (entry != nullptr) {
            environment_.network.connection_to(entry->update.record.peer)
                ->send(frame_kind::evidence_report, 0, payload);
        }
    }
}

void evidence_exchange::take(const evidence_report& report)
{
    for (const auto& item : report.items) {
        if (is_candidate(item.service)) {
            inbox_.add(item);
        }
    }
}

std::vector<route_evidence> evidence_exchange::collect(const service_name& service)
{
    return inbox_.take(service);
}

const std::vector<node_id>& evidence_exchange::candidates(const service_name& service)
{
    const auto found = candidates_.find(service);
    if (found != candidates_.end()) {
        return found->second;
    }
    const auto members = live_members(environment_.members());
    return candidates_.emplace(service, controller_candidates(service, members)).first->second;
}

} // namespace savorywheel
