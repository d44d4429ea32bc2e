#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/node/evidence_exchange.hpp>
#include <savorywheel/rollout/live_members.hpp>

#include <utility>

namespace savorywheel {

evidence_exchange::evidence_exchange(node_id self, environment env)
    : self_{std::move(self)}, environment_{std::move(env)}
{
}

bool evidence_exchange::is_candidate(const service_name& service)
{
    return tree_of(service).is_controller(self_);
}

void evidence_exchange::send(const service_name& service, std::span<const route_evidence> evidence)
{
    const auto& tree = tree_of(service);
    for (const auto& item : evidence) {
        pending_.add(item);
    }
    if (tree.is_controller(self_) && tree.controllers().size() == 1) {
        return;
    }
    const auto outgoing = tree.is_controller(self_)
                              ? std::vector<route_evidence>{evidence.begin(), evidence.end()}
                              : pending_.extract(service);
    if (outgoing.empty()) {
        return;
    }
    const auto payload = encode(evidence_report{outgoing});
    for (const auto& node : tree.targets_of(self_)) {
        const auto* entry = environment_.members().find(node);
        if (node != self_ && entry != nullptr) {
            environment_.network.connection_to(entry->update.record.peer)
                ->send(frame_kind::evidence_report, 0, payload);
        }
    }
}

void evidence_exchange::receive(const evidence_report& report)
{
    for (const auto& item : report.items) {
        if (tree_of(item.service).is_receiver(self_)) {
            pending_.add(item);
        }
    }
}

std::vector<route_evidence> evidence_exchange::collect(const service_name& service)
{
    return pending_.extract(service);
}

const evidence_tree& evidence_exchange::tree_of(const service_name& service)
{
    const auto found = trees_.find(service);
    if (found != trees_.end()) {
        return found->second;
    }
    if (live_.empty()) {
        live_ = members_reaching_store(environment_.members());
    }
    return trees_.emplace(service, evidence_tree{service, live_}).first->second;
}

} // namespace savorywheel
