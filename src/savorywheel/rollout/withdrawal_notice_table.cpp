#include <savorywheel/rollout/withdrawal_notice_table.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

bool ended(const withdrawal_notice& notice, const mesh_state& state)
{
    if (state.version() < notice.asked_at) {
        return false;
    }
    const auto service = state.find(notice.service);
    return !service || !service->move || service->move->asked_at != notice.asked_at ||
           service->move->status == move_status::withdrawn;
}

} // namespace

bool withdrawal_notice_table::add(const withdrawal_notice& notice)
{
    const auto past = ended_.find(notice.service);
    if (past != ended_.end() && notice.asked_at <= past->second) {
        return false;
    }
    const auto known = notices_.find(notice.service);
    if (known != notices_.end() && notice.asked_at <= known->second.asked_at) {
        return false;
    }
    notices_.insert_or_assign(notice.service, notice);
    return true;
}

void withdrawal_notice_table::erase_ended(const mesh_state& state)
{
    for (auto item = notices_.begin(); item != notices_.end();) {
        if (ended(item->second, state)) {
            auto& past = ended_[item->first];
            past = std::max(past, item->second.asked_at);
            item = notices_.erase(item);
        }
        else {
            ++item;
        }
    }
}

const withdrawal_notice* withdrawal_notice_table::find(const service_name& service,
                                                       config_version asked_at) const
{
    const auto found = notices_.find(service);
    return found != notices_.end() && found->second.asked_at == asked_at ? &found->second : nullptr;
}

std::vector<withdrawal_notice> withdrawal_notice_table::all() const
{
    std::vector<withdrawal_notice> notices;
    for (const auto& [service, notice] : notices_) {
        notices.push_back(notice);
    }
    return notices;
}

} // namespace savorywheel
