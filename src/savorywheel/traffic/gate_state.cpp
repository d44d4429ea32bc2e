#include <savorywheel/traffic/gate_state.hpp>

#include <utility>

namespace savorywheel {

namespace {

/** Calls with less than half of the mean service time left are not expected to finish. */
constexpr int min_remaining_divisor = 2;

} // namespace

void gate_state::set_backend(std::optional<backend_server> backend)
{
    if (!backend || !backend_ || backend->identity != backend_->identity) {
        silence_detector_.reset();
    }
    backend_ = std::move(backend);
}

gate_load gate_state::load() const
{
    return {running(), static_cast<std::uint32_t>(queue_.size()),
            std::chrono::duration_cast<std::chrono::microseconds>(service_time_.mean())};
}

call_refusal gate_state::decide(const gate_call& item, bool crashing, monotonic_time now)
{
    auto reason = refusal_at_start(item, crashing);
    if (reason == call_refusal::none) {
        reason = admission_check_of(item, now).decide();
    }
    if (reason == call_refusal::none && silence_detector_.silent() &&
        !silence_detector_.allow_probe(now)) {
        reason = call_refusal::silent;
    }
    return reason;
}

call_refusal gate_state::refusal_at_start(const gate_call& item, bool crashing) const
{
    if (!backend_) {
        return call_refusal::absent;
    }
    if (backend_->state == server_state::draining) {
        return call_refusal::leaving;
    }
    if (backend_->service != item.call.service || backend_->version != item.call.version) {
        return call_refusal::wrong_version;
    }
    if (crashing) {
        return call_refusal::crashing;
    }
    return item.cancel_signal.cancelled() ? call_refusal::expired : call_refusal::none;
}

duration gate_state::retry_after(const gate_call& item, monotonic_time now) const
{
    return admission_check_of(item, now).retry_after();
}

std::vector<gate_state::call_pointer> gate_state::remove_expiring(monotonic_time now)
{
    const auto latest = now + service_time_.mean() / min_remaining_divisor;
    return queue_.remove_if([latest](const gate_call& item) { return latest > item.deadline; });
}

std::vector<gate_state::call_pointer> gate_state::remove_queued_if_silent(monotonic_time now)
{
    if (!backend_ || silence_detector_.silent()) {
        return {};
    }
    std::vector<monotonic_time> started;
    started.reserve(running_.size());
    for (const auto& item : running_) {
        started.push_back(item->started);
    }
    if (!silence_detector_.update(started, service_time_.mean(), now)) {
        return {};
    }
    return queue_.remove_if([](const gate_call& /*item*/) { return true; });
}

void gate_state::start(const call_pointer& item, monotonic_time now)
{
    item->started = now;
    running_.push_back(item);
}

bool gate_state::end(const call_pointer& item, bool answered, monotonic_time now)
{
    std::erase(running_, item);
    if (!answered) {
        return false;
    }
    service_time_.record(now - item->started);
    const bool was_silent = silence_detector_.silent();
    silence_detector_.record_response(now);
    return was_silent;
}

void gate_state::cancel_if(const call_predicate& predicate)
{
    queue_.remove_if(predicate);
    for (const auto& item : running_) {
        if (predicate(*item)) {
            item->cancel_signal.cancel();
        }
    }
}

admission_check gate_state::admission_check_of(const gate_call& item, monotonic_time now) const
{
    admission_check inputs;
    inputs.slots = slots();
    inputs.running = running();
    inputs.waiting = queue_.count_ahead_of(item.call.priority);
    inputs.service_time = service_time_.mean();
    inputs.remaining = item.deadline - now;
    inputs.target_remaining = item.call.target_remaining;
    inputs.highest_priority = item.call.priority == 0;
    return inputs;
}

} // namespace savorywheel
