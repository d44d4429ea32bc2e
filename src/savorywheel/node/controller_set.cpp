#include <savorywheel/distribution/commit_keys.hpp>
#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/node/controller_set.hpp>
#include <savorywheel/rollout/evidence_policy.hpp>

#include <fmt/format.h>

#include <utility>

namespace savorywheel {

controller_set::controller_set(lease_record self, environment env)
    : self_{std::move(self)}, environment_{env}
{
}

void controller_set::set_services(const std::set<service_name>& services)
{
    for (const auto& service : services) {
        if (!services_.contains(service)) {
            lease_of(service).start();
        }
    }
    for (const auto& service : services_) {
        if (!services.contains(service)) {
            lease_of(service).stop();
            controllers_.erase(service);
        }
    }
    services_ = services;
}

std::optional<withdrawal_notice> controller_set::run(const service_state& service,
                                                     move_controller::period input)
{
    auto& lease = lease_of(service.spec.name);
    auto& controller = controller_of(service);
    input.leader = lease.held();
    input.predecessor = predecessor_evidence(service.spec.name, lease);
    auto issued = controller.run(input);
    if (input.leader) {
        lease.set_note(encode_json(controller.summary(*service.move)));
    }
    return issued;
}

const move_evidence* controller_set::predecessor_evidence(const service_name& service,
                                                          const lease_manager& lease)
{
    const auto& record = lease.predecessor();
    if (!record || record->note.empty()) {
        return nullptr;
    }
    auto& known = predecessor_evidence_[service];
    if (known.term != record->term) {
        auto found = decode_json<move_evidence>(record->note);
        if (!found) {
            environment_.controllers.log.write(
                event_id::predecessor_evidence_unreadable,
                fmt::format("{}: {}", service.str(), found.reason().message));
        }
        known = {record->term, found.value()};
    }
    return known.evidence ? &*known.evidence : nullptr;
}

move_controller& controller_set::controller_of(const service_state& service)
{
    const auto& move = *service.move;
    auto& item = controllers_[service.spec.name];
    if (!item.controller || item.asked_at != move.asked_at || item.started_at != move.started_at) {
        item.asked_at = move.asked_at;
        item.started_at = move.started_at;
        item.controller = std::make_unique<move_controller>(
            move_id{service.spec.name, move.asked_at}, self_.holder,
            std::make_unique<evidence_policy>(), environment_.controllers);
    }
    return *item.controller;
}

lease_manager& controller_set::lease_of(const service_name& service)
{
    auto& lease = leases_[service];
    if (!lease) {
        lease = std::make_unique<lease_manager>(
            fmt::format("{}rollout/{}", lease_prefix, service.str()), self_, environment_.leases,
            [this, service](bool held) {
                environment_.controllers.log.write(held ? event_id::controller_lease_gained
                                                        : event_id::controller_lease_lost,
                                                   service.str());
            });
    }
    return *lease;
}

} // namespace savorywheel
