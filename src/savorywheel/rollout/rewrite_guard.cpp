#include <savorywheel/rollout/rewrite_guard.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

constexpr std::uint64_t operation_bound = std::uint64_t{1} << 62U;

} // namespace

void rewrite_guard::compare(std::span<const commit> found, const std::deque<commit>& accepted)
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

void rewrite_guard::run(const mesh_state& state, calendar_time now)
{
    if (writing_ || pending_.empty()) {
        return;
    }
    auto planned = plan_unknown_override(state, pending_.front(), now);
    if (!planned) {
        pending_.pop_front();
        return;
    }
    planned->operation =
        operation_id{fmt::format("rewritten {} {:016x}", pending_.front().found.version.number,
                                 environment_.random.below(operation_bound))};
    publish(std::move(*planned));
}

void rewrite_guard::publish(commit planned)
{
    writing_ = true;
    const auto text = fmt::format("version {}: {}", planned.version.number, planned.reason);
    environment_.commits.append(
        planned, [this, text, alive = std::weak_ptr<bool>{alive_}](const outcome<bool>& written) {
            if (alive.expired()) {
                return;
            }
            writing_ = false;
            if (written) {
                environment_.log.write(event_id::unknown_override, text);
            }
        });
}

} // namespace savorywheel
