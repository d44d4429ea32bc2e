#include <savorywheel/distribution/distribution_tree.hpp>
#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/node/withdrawal_broadcaster.hpp>
#include <savorywheel/rollout/live_members.hpp>

#include <fmt/format.h>

#include <utility>

namespace savorywheel {

namespace {

constexpr int gossip_fanout = 2;

} // namespace

withdrawal_broadcaster::withdrawal_broadcaster(node_id self, environment env)
    : self_{std::move(self)}, environment_{std::move(env)}
{
}

bool withdrawal_broadcaster::receive(const withdrawal_notice& notice)
{
    if (!active_notices_.add(notice)) {
        return false;
    }
    environment_.log.write(
        event_id::withdrawal_notice_received,
        fmt::format("{} from {}: {}", notice.service.str(), notice.issuer.str(), notice.reason));
    forward(notice);
    return true;
}

void withdrawal_broadcaster::gossip()
{
    const auto notices = active_notices_.all();
    if (notices.empty()) {
        return;
    }
    const auto members = live_members(environment_.members());
    for (const auto& notice : notices) {
        const auto payload = encode(notice);
        for (int i = 0; i < gossip_fanout && !members.empty(); ++i) {
            send(members[environment_.random.below(members.size())], payload);
        }
    }
}

void withdrawal_broadcaster::forward(const withdrawal_notice& notice)
{
    const auto payload = encode(notice);
    const auto members = live_members(environment_.members());
    for (const auto& child : tree_children(notice.issuer, self_, members)) {
        send(child, payload);
    }
}

void withdrawal_broadcaster::send(const node_id& member, std::span<const std::byte> payload)
{
    const auto* entry = environment_.members().find(member);
    if (member != self_ && entry != nullptr) {
        environment_.network.connection_to(entry->update.record.peer)
            ->send(frame_kind::withdrawal_push, 0, payload);
    }
}

} // namespace savorywheel
