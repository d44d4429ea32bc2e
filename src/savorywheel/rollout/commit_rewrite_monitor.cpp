#include <savorywheel/rollout/commit_rewrite_monitor.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

constexpr std::uint64_t operation_bound = std::uint64_t{1} << 62U;

} // namespace

void commit_rewrite_monitor::compare(std::span<const commit> found,
                                     const std::deque<commit>& accepted)
{
    for (const auto& item : found) {
        const auto known = std::ranges::find(accepted, item.version, &commit::version);
        if (known == accepted.end() || *known == item) {
            continue;
        }
        environment_.log.write(event_id::commit_rewritten,
                               fmt::format("version {}", item.version.number));
        pending_.push_back({*known, item});
    }
}

void commit_rewrite_monitor::run(const mesh_state& state, calendar_time now)
{
    if (append_in_flight_ || pending_.empty()) {
        return;
    }
    auto planned = plan_override_for_rewrite(state, pending_.front(), now);
    if (!planned) {
        pending_.pop_front();
        return;
    }
    planned->operation =
        operation_id{fmt::format("rewritten {} {:016x}", pending_.front().stored.version.number,
                                 environment_.random.below(operation_bound))};
    publish(std::move(*planned));
}

void commit_rewrite_monitor::publish(commit planned)
{
    append_in_flight_ = true;
    const auto text = fmt::format("version {}: {}", planned.version.number, planned.reason);
    environment_.commits.append(
        planned, [this, text, alive = std::weak_ptr<bool>{alive_}](const outcome<bool>& written) {
            if (alive.expired()) {
                return;
            }
            append_in_flight_ = false;
            if (written) {
                environment_.log.write(event_id::override_by_unknown_author, text);
            }
        });
}

} // namespace savorywheel
