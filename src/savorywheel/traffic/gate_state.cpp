#include <savorywheel/traffic/gate_state.hpp>

#include <utility>

namespace savorywheel {

namespace {

/** Calls with less than half of the mean service time left are not expected to finish. */
constexpr int hopeless_divisor = 2;

} // namespace

void gate_state::set_backend(std::optional<backend_server> backend)
{
    if (!backend || !backend_ || backend->identity != backend_->identity) {
        silence_.reset();
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
    auto reason = start_refusal(item, crashing);
    if (reason == call_refusal::none) {
        reason = view_of(item, now).decide();
    }
    if (reason == call_refusal::none && silence_.silent() && !silence_.take_probe(now)) {
        reason = call_refusal::silent;
    }
    return reason;
}

call_refusal gate_state::start_refusal(const gate_call& item, bool crashing) const
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
    return item.stop.cancelled() ? call_refusal::expired : call_refusal::none;
}

duration gate_state::retry_after(const gate_call& item, monotonic_time now) const
{
    return view_of(item, now).retry_after();
}

std::vector<gate_state::call_pointer> gate_state::take_hopeless(monotonic_time now)
{
    const auto latest = now + service_time_.mean() / hopeless_divisor;
    return queue_.remove_if([latest](const gate_call& item) { return latest > item.deadline; });
}

std::vector<gate_state::call_pointer> gate_state::take_stuck(monotonic_time now)
{
    if (!backend_ || silence_.silent()) {
        return {};
    }
    std::vector<monotonic_time> started;
    started.reserve(running_.size());
    for (const auto& item : running_) {
        started.push_back(item->started);
    }
    if (!silence_.look(started, service_time_.mean(), now)) {
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
    const bool was_silent = silence_.silent();
    silence_.answered(now);
    return was_silent;
}

void gate_state::cancel_if(const condition& meant)
{
    queue_.remove_if(meant);
    for (const auto& item : running_) {
        if (meant(*item)) {
            item->stop.cancel();
        }
    }
}

admission gate_state::view_of(const gate_call& item, monotonic_time now) const
{
    admission view;
    view.slots = slots();
    view.running = running();
    view.waiting = queue_.ahead_of(item.call.priority);
    view.service_time = service_time_.mean();
    view.remaining = item.deadline - now;
    view.preferred = item.call.preferred;
    view.highest_rank = item.call.priority == 0;
    return view;
}

} // namespace savorywheel
