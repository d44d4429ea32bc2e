#include <savorywheel/distribution/distribution_tree.hpp>
#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/node/withdrawal_spreader.hpp>
#include <savorywheel/rollout/live_members.hpp>

#include <fmt/format.h>

#include <utility>

namespace savorywheel {

namespace {

constexpr int repetitions = 2;

} // namespace

withdrawal_spreader::withdrawal_spreader(node_id self, environment surroundings)
    : self_{std::move(self)}, environment_{std::move(surroundings)}
{
}

bool withdrawal_spreader::take(const withdrawal_notice& notice)
{
    if (!board_.take(notice)) {
        return false;
    }
    environment_.log.write(
        event_id::withdrawal_heard,
        fmt::format("{} from {}: {}", notice.service.str(), notice.issuer.str(), notice.reason));
    pass_on(notice);
    return true;
}

void withdrawal_spreader::repeat()
{
    const auto notices = board_.all();
    if (notices.empty()) {
        return;
    }
    const auto members = live_members(environment_.members());
    for (const auto& notice : notices) {
        const auto payload = encode(notice);
        for (int i = 0; i < repetitions && !members.empty(); ++i) {
            send(members[environment_.random.below(members.size())], payload);
        }
    }
}

void withdrawal_spreader::pass_on(const withdrawal_notice& notice)
{
    const auto payload = encode(notice);
    const auto members = live_members(environment_.members());
    for (const auto& child : tree_children(notice.issuer, self_, members)) {
        send(child, payload);
    }
}

void withdrawal_spreader::send(const node_id& member, std::span<const std::byte> payload)
{
    const auto* entry = environment_.members().find(member);
    if (member != self_ && entry != nullptr) {
        environment_.network.connection_to(entry->update.record.peer)
            ->send(frame_kind::withdrawal_push, 0, payload);
    }
}

} // namespace savorywheel
