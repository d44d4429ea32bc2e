#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/node/evidence_exchange.hpp>
#include <savorywheel/rollout/live_members.hpp>

#include <utility>

namespace savorywheel {

evidence_exchange::evidence_exchange(node_id self, environment surroundings)
    : self_{std::move(self)}, environment_{std::move(surroundings)}
{
}

bool evidence_exchange::is_candidate(const service_name& service)
{
    return tree_of(service).controls(self_);
}

void evidence_exchange::send(const service_name& service, std::span<const route_evidence> evidence)
{
    const auto& tree = tree_of(service);
    for (const auto& item : evidence) {
        inbox_.add(item);
    }
    if (tree.controls(self_) && tree.controllers().size() == 1) {
        return;
    }
    const auto whole = tree.controls(self_)
                           ? std::vector<route_evidence>{evidence.begin(), evidence.end()}
                           : inbox_.take(service);
    if (whole.empty()) {
        return;
    }
    const auto payload = encode(evidence_report{whole});
    for (const auto& node : tree.targets_of(self_)) {
        const auto* entry = environment_.members().find(node);
        if (node != self_ && entry != nullptr) {
            environment_.network.connection_to(entry->update.record.peer)
                ->send(frame_kind::evidence_report, 0, payload);
        }
    }
}

void evidence_exchange::take(const evidence_report& report)
{
    for (const auto& item : report.items) {
        if (tree_of(item.service).receives(self_)) {
            inbox_.add(item);
        }
    }
}

std::vector<route_evidence> evidence_exchange::collect(const service_name& service)
{
    return inbox_.take(service);
}

const evidence_tree& evidence_exchange::tree_of(const service_name& service)
{
    const auto found = trees_.find(service);
    if (found != trees_.end()) {
        return found->second;
    }
    if (live_.empty()) {
        live_ = members_with_store(environment_.members());
    }
    return trees_.emplace(service, evidence_tree{service, live_}).first->second;
}

} // namespace savorywheel
