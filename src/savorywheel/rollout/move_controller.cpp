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
                                 environment env)
    : move_{std::move(move)}, self_{std::move(self)}, policy_{std::move(policy)}, environment_{env}
{
}

std::optional<withdrawal_notice> move_controller::run(const period& input)
{
    const auto service = input.state.find(move_.service);
    if (!service || !service->move || service->move->asked_at != move_.asked_at ||
        service->move->status == move_status::withdrawn || service->override_in_force) {
        return std::nullopt;
    }
    auto decision = decide(*service, input);
    std::optional<withdrawal_notice> issued;
    if (input.notice != nullptr) {
        decision = {rollout_action::withdraw, service->move->from, input.notice->reason};
    }
    else if (decision.action == rollout_action::withdraw) {
        issued = withdrawal_notice{move_.service, move_.asked_at, self_, decision.reason};
    }
    log_suspicion(decision);
    if (input.leader && !append_in_flight_ && !retry(input.state)) {
        write(decision, input);
    }
    return issued;
}

void move_controller::log_suspicion(const rollout_decision& decision)
{
    if (decision.action == rollout_action::withdraw) {
        return;
    }
    if (std::exchange(suspected_, decision.suspected) != decision.suspected) {
        environment_.log.write(decision.suspected ? event_id::version_suspected
                                                  : event_id::suspicion_ended,
                               fmt::format("{}: {}", move_.service.str(), decision.reason));
    }
}

rollout_decision move_controller::decide(const service_state& service, const period& input)
{
    if (input.predecessor != nullptr) {
        for (const auto& part : evidence_.import_predecessor(*service.move, *input.predecessor)) {
            static_cast<void>(
                policy_->decide({service, part, input.new_servers, input.calendar_now}));
        }
    }
    evidence_.add(input.evidence);
    return policy_->decide({service, input.evidence, input.new_servers, input.calendar_now});
}

void move_controller::write(const rollout_decision& decision, const period& input)
{
    if (decision.action == rollout_action::hold) {
        return;
    }
    const author_name author{"rollout controller at " + self_.str()};
    auto planned = plan_rollout_commit(input.state, move_, decision, author, input.calendar_now);
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
    append_in_flight_ = true;
    environment_.commits.append(
        *pending_, [this, alive = std::weak_ptr<bool>{alive_}](const outcome<bool>& written) {
            if (!alive.expired()) {
                on_written(written);
            }
        });
}

void move_controller::on_written(const outcome<bool>& written)
{
    append_in_flight_ = false;
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
