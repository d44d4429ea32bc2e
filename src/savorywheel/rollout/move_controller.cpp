#include <savorywheel/rollout/move_controller.hpp>

#include <fmt/format.h>

#include <utility>

namespace savorywheel {

namespace {

constexpr std::uint64_t operation_bound = std::uint64_t{1} << 62U;

event_id event_of(commit_kind kind) noexcept
{
    switch (kind) {
    case commit_kind::withdrawal:
        return event_id::rollout_withdrawn;
    case commit_kind::rollout_done:
        return event_id::rollout_done;
    default:
        return event_id::rollout_step;
    }
}

} // namespace

move_controller::move_controller(move_id move, node_id self, std::unique_ptr<rollout_policy> policy,
                                 environment surroundings)
    : move_{std::move(move)}, self_{std::move(self)}, policy_{std::move(policy)}, environment_{
                                                                                      surroundings}
{
}

std::optional<withdrawal_notice> move_controller::run(const period& now)
{
    const auto service = now.state.find(move_.service);
    if (!service || !service->move || service->move->asked_at != move_.asked_at ||
        service->move->status == move_status::withdrawn || service->override_in_force) {
        return std::nullopt;
    }
    auto decision = decide(*service, now);
    std::optional<withdrawal_notice> issued;
    if (now.notice != nullptr) {
        decision = {rollout_action::withdraw, service->move->from, now.notice->reason};
    }
    else if (decision.action == rollout_action::withdraw) {
        issued = withdrawal_notice{move_.service, move_.asked_at, self_, decision.reason};
    }
    if (now.leader && !writing_ && !retry(now.state)) {
        write(decision, now);
    }
    return issued;
}

rollout_decision move_controller::decide(const service_state& service, const period& now)
{
    if (now.earlier != nullptr) {
        for (const auto& part : seen_.inherit(*service.move, *now.earlier)) {
            static_cast<void>(policy_->decide({service, part, now.new_servers, now.now}));
        }
    }
    seen_.add(now.evidence);
    return policy_->decide({service, now.evidence, now.new_servers, now.now});
}

void move_controller::write(const rollout_decision& decision, const period& now)
{
    if (decision.action == rollout_action::hold) {
        return;
    }
    const author_name author{"rollout controller at " + self_.str()};
    auto planned = plan_rollout_commit(now.state, move_, decision, author, now.now);
    if (!planned) {
        return;
    }
    planned->operation =
        operation_id{fmt::format("{:016x}{:016x}", environment_.random.below(operation_bound),
                                 environment_.random.below(operation_bound))};
    pending_ = std::move(*planned);
    send();
}

void move_controller::send()
{
    writing_ = true;
    environment_.commits.append(
        *pending_, [this, alive = std::weak_ptr<bool>{alive_}](const outcome<bool>& written) {
            if (!alive.expired()) {
                on_written(written);
            }
        });
}

void move_controller::on_written(const outcome<bool>& written)
{
    writing_ = false;
    if (written) {
        environment_.log.write(event_of(pending_->kind),
                               fmt::format("{} version {}: {}", move_.service.str(),
                                           pending_->version.number, pending_->reason));
        return;
    }
    if (written.reason().code == failure_code::conflict) {
        environment_.log.write(event_id::rollout_commit_refused,
                               fmt::format("{} version {}: {}", move_.service.str(),
                                           pending_->version.number, written.reason().message));
        pending_.reset();
    }
}

/** Retries a commit with an unknown outcome until the accepted state reaches its version. */
bool move_controller::retry(const mesh_state& state)
{
    if (!pending_ || state.version() >= pending_->version) {
        pending_.reset();
        return false;
    }
    send();
    return true;
}

} // namespace savorywheel
