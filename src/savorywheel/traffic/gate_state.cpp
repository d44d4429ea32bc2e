#include <savorywheel/http/http_status.hpp>
#include <savorywheel/traffic/gate_state.hpp>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

/** Calls with less than half of the mean service time left are not expected to finish. */
constexpr int min_remaining_divisor = 2;
/** Expected rest of a call that has run for its mean or longer; log-normal, spread 0.5 to 0.8. */
constexpr int overdue_divisor = 2;
/** The rest of a call that has run for several times its mean grows with that time. */
constexpr int overdue_tail_divisor = 4;
/** A late call that calls in time overtake is refused after this part of its time, to be retried.
 */
constexpr int late_hold_divisor = 8;
/** A server that responds to nothing must be probed again soon after its calls have timed out. */
constexpr duration max_abandoned_hold{std::chrono::seconds{1}};
/** Calls of one slot in the queue. */
constexpr std::size_t max_queued_per_slot = 4;
/** Half of the queue, so that a flood of express calls leaves places to others. */
constexpr std::size_t max_express_per_slot = max_queued_per_slot / 2;
/** A service of a mesh with tenants gets calls with tenants far more often than this. */
constexpr std::chrono::seconds tenants_remembered{60};

duration rest_of(const gate_call& item, monotonic_time now)
{
    const auto& mean = item.expected.mean;
    const auto ran = now - item.started;
    return std::max<duration>({mean - ran, mean / overdue_divisor, ran / overdue_tail_divisor});
}

template<std::size_t Size>
void count_priority(std::array<std::uint64_t, Size>& counts, std::uint32_t priority)
{
    ++counts.at(std::min<std::size_t>(priority, Size - 1));
}

} // namespace

void gate_state::set_backend(std::optional<backend_server> backend)
{
    if (!backend || !backend_ || backend->identity != backend_->identity) {
        silence_detector_.reset();
        abandoned_ = {};
    }
    backend_ = std::move(backend);
}

gate_load gate_state::load(monotonic_time now) const
{
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    return {running(), static_cast<std::uint32_t>(queue_.size()),
            duration_cast<microseconds>(service_time_.mean()),
            duration_cast<microseconds>(running_work(now) + queue_.work())};
}

gate_counts gate_state::counts(monotonic_time now) const
{
    auto counts = counts_;
    queue_.for_each([&counts](const gate_call& item) {
        count_priority(counts.waiting_by_tenant_priority, item.call.tenant_priority);
        count_priority(counts.waiting_by_priority, item.call.priority);
    });
    counts.abandoned = abandoned_.count();
    counts.work_us = static_cast<std::uint64_t>(load(now).work.count());
    return counts;
}

call_refusal gate_state::decide(gate_call& item, bool crashing, monotonic_time now)
{
    auto reason = refusal_at_start(item, crashing);
    if (reason == call_refusal::none) {
        reason = place(item, now);
    }
    if (reason == call_refusal::none && silence_detector_.silent() &&
        !silence_detector_.allow_probe(now)) {
        reason = call_refusal::silent;
    }
    return reason;
}

/** Decides whether and in which class the call may be queued, and until when it is worth it. */
call_refusal gate_state::place(gate_call& item, monotonic_time now)
{
    abandoned_.remove_ended(now);
    if (!item.call.tenant.str().empty()) {
        tenants_seen_until_ = now + tenants_remembered;
    }
    item.expected = service_times_.expect(item.call.route);
    item.latest_start = item.deadline - item.expected.mean / min_remaining_divisor;
    item.placement = is_express(item, now) ? call_class::express : call_class::on_time;
    auto check = admission_check_of(item, item.placement, now);
    if (item.placement == call_class::express) {
        // The caller of an inner call prefers a late response to none.
        check.highest_priority = true;
        return check.waiting >= max_express_per_slot * slots() ? call_refusal::overload
                                                               : check.decide();
    }
    if (check.target_missed()) {
        return place_late(item, now);
    }
    if (check.target_remaining > duration::zero()) {
        // Calls within the share of other tenants may overtake it until it is late as well.
        const auto hold = check.target_remaining + check.remaining / late_hold_divisor;
        item.latest_start = std::min(item.latest_start, now + hold);
    }
    check.highest_priority = false;
    const auto reason = check.decide();
    const bool may_be_late =
        item.call.priority == 0 && item.call.target_remaining > duration::zero();
    return reason == call_refusal::overload && may_be_late ? place_late(item, now) : reason;
}

/** Places a call behind those that meet their target latency, if it starts soon even there. */
call_refusal gate_state::place_late(gate_call& item, monotonic_time now) const
{
    item.placement = call_class::late;
    const auto check = admission_check_of(item, call_class::late, now);
    const auto reason = check.decide();
    if (reason != call_refusal::none) {
        return reason;
    }
    item.latest_start = std::min(item.latest_start, now + check.remaining / late_hold_divisor);
    return check.starts_soon() ? call_refusal::none : call_refusal::overload;
}

/**
 * A mesh with tenants requires a key except on public routes, which backend servers use for calls
 * that they make while they run another one. Without tenants, such calls are known by their work.
 * A tenant's short calls are not express: they would evade its fair share.
 */
bool gate_state::is_express(const gate_call& item, monotonic_time now) const
{
    return item.call.tenant.str().empty() && (item.expected.is_short || now < tenants_seen_until_);
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
    return admission_check_of(item, item.placement, now).retry_after();
}

bool gate_state::push(call_pointer item)
{
    ++counts_.admitted.at(static_cast<std::size_t>(item->placement));
    return queue_.push(std::move(item));
}

std::vector<gate_state::call_pointer> gate_state::remove_displaced()
{
    std::vector<call_pointer> removed;
    while (backend_ && queue_.size() > max_queued_per_slot * slots()) {
        removed.push_back(queue_.pop_last());
    }
    counts_.displaced += removed.size();
    return removed;
}

std::vector<gate_state::call_pointer> gate_state::remove_expiring(monotonic_time now)
{
    abandoned_.remove_ended(now);
    const auto rest = average_rest(now);
    auto removed = queue_.remove_if([&](const gate_call& item, const queue_ahead& ahead) {
        return now + start_after(ahead, rest) > item.latest_start;
    });
    counts_.hopeless += removed.size();
    return removed;
}

std::optional<monotonic_time> gate_state::next_check() const
{
    if (queue_.empty()) {
        return std::nullopt;
    }
    auto first = abandoned_.next_end().value_or(monotonic_time::max());
    queue_.for_each(
        [&first](const gate_call& item) { first = std::min(first, item.latest_start); });
    return first;
}

std::vector<gate_state::call_pointer> gate_state::remove_queued_if_silent(monotonic_time now)
{
    if (!backend_ || silence_detector_.silent()) {
        return {};
    }
    std::vector<monotonic_time> started;
    started.reserve(running_.size());
    // Long calls that run at the same time are not silence.
    auto service_time = service_time_.mean();
    for (const auto& item : running_) {
        started.push_back(item->started);
        service_time = std::max(service_time, item->expected.mean);
    }
    if (!silence_detector_.update(started, service_time, now)) {
        return {};
    }
    return queue_.remove_if([](const gate_call& /*item*/) { return true; });
}

void gate_state::start(const call_pointer& item, monotonic_time now)
{
    item->started = now;
    running_.push_back(item);
}

bool gate_state::end(const call_pointer& item, const call_response& response, monotonic_time now)
{
    std::erase(running_, item);
    const auto ran = now - item->started;
    if (response.result != call_result::answered) {
        const bool given_up = item->cancel_signal.cancelled() || now >= item->deadline;
        if (response.result == call_result::unknown && !item->received && given_up) {
            const auto rest = std::max(rest_of(*item, now), std::min(ran, max_abandoned_hold));
            abandoned_.add(now + rest);
            if (ran > item->expected.mean) {
                // Its service time is at least this; without it, a slow server would look fast.
                service_times_.record(item->call.route, ran);
            }
        }
        return false;
    }
    // A failure often ends early; learned from, it would make a failing server look fast.
    if (response.response.status < status_internal_error || ran > item->expected.mean) {
        service_time_.record(ran);
        service_times_.record(item->call.route, ran);
    }
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

admission_check gate_state::admission_check_of(const gate_call& item, call_class placement,
                                               monotonic_time now) const
{
    const auto ahead = queue_.ahead_of(queue_.rank_of(item, placement));
    admission_check inputs;
    inputs.slots = slots();
    inputs.running = running() + abandoned_.count();
    inputs.waiting = ahead.calls;
    inputs.service_time = item.expected.mean;
    inputs.high_service_time = item.expected.high;
    inputs.start = start_after(ahead, average_rest(now));
    inputs.remaining = item.deadline - now;
    // Of a late call, only the deadline counts.
    inputs.target_remaining =
        placement == call_class::late ? duration::zero() : duration{item.call.target_remaining};
    inputs.highest_priority = item.call.priority == 0;
    return inputs;
}

/**
 * Returns the expected time until a slot is free after the calls ahead. When the first slot becomes
 * free, the others are busy with about as much as they are on average now, so only the share of one
 * running call counts. With equal calls this is the mean time multiplied by their position, over
 * the slots.
 */
duration gate_state::start_after(const queue_ahead& ahead, duration rest) const
{
    const auto busy = running() + abandoned_.count();
    if (slots() == 0 || busy + ahead.calls < slots()) {
        return duration::zero();
    }
    return (rest + ahead.work) / static_cast<duration::rep>(slots());
}

/** Returns the average of what the running calls still need. */
duration gate_state::average_rest(monotonic_time now) const
{
    return running_.empty() ? duration::zero()
                            : running_work(now) / static_cast<duration::rep>(running_.size());
}

duration gate_state::running_work(monotonic_time now) const
{
    auto work = duration::zero();
    for (const auto& item : running_) {
        work += rest_of(*item, now);
    }
    return work;
}

} // namespace savorywheel
