#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/membership/replica_selection.hpp>
#include <savorywheel/node/crash_report_handover.hpp>
#include <savorywheel/traffic/crash_reports.hpp>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

/** Senders to one receiver; some of them may have just been started as well. */
constexpr std::size_t max_senders = 8;

} // namespace

crash_report_handover::crash_report_handover(environment env)
    : environment_{std::move(env)}, delivery_{environment_.peers}
{
}

void crash_report_handover::on_member_changed(const member_update& update)
{
    const auto& receiver = update.record;
    if (update.status != member_status::alive || receiver.service.empty() ||
        receiver.id == environment_.self().id) {
        return;
    }
    auto reports = environment_.reports(receiver.service);
    if (reports.empty() || !is_sender(receiver)) {
        return;
    }
    delivery_.send(receiver.peer, frame_kind::crash_reports,
                   encode(crash_reports{std::move(reports)}), [] {});
}

bool crash_report_handover::is_sender(const member_record& receiver) const
{
    const auto* group = environment_.members().group(receiver.service);
    if (group == nullptr) {
        return false;
    }
    std::vector<const member_record*> candidates;
    for (const auto& [id, record] : group->records) {
        if (id != receiver.id) {
            candidates.push_back(record);
        }
    }
    const auto senders = select_replicas(receiver, candidates, max_senders);
    return std::ranges::find(senders, environment_.self().id, &member_record::id) != senders.end();
}

} // namespace savorywheel
