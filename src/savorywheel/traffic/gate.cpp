#include <savorywheel/core/task_guard.hpp>
#include <savorywheel/core/thread_name.hpp>
#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/traffic/crash_reports.hpp>
#include <savorywheel/traffic/gate.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

constexpr std::uint32_t max_slots = 256;
/** Bounds the checks of a queue whose next change is overdue; a refusal need not be more exact. */
constexpr std::chrono::milliseconds min_check_period{10};
/** Bounds the sleep in case the clock of the gate is not the one of the condition variable. */
constexpr std::chrono::seconds max_check_period{1};

void respond(frame_sink& target, std::uint64_t correlation, const call_response& response)
{
    target.send(frame_kind::call_response, correlation, encode(response));
}

call_response refused(call_refusal refusal)
{
    return call_response::not_run(refusal, std::string{to_string(refusal)});
}

} // namespace

gate::~gate()
{
    stop();
}

void gate::set_backend(std::optional<backend_server> backend)
{
    const std::scoped_lock lock{mutex_};
    state_.set_backend(std::move(backend));
    const auto slots = std::min(state_.slots(), max_slots);
    while (threads_.size() < slots && !stopping_) {
        threads_.emplace_back([this] { run(); });
    }
    if (!threads_.empty() && !watcher_.joinable() && !stopping_) {
        watcher_ = std::thread{[this] { watch_queue(); }};
    }
    work_available_.notify_all();
}

void gate::stop_accepting()
{
    {
        const std::scoped_lock lock{mutex_};
        stopping_ = true;
    }
    work_available_.notify_all();
}

void gate::reject_deadlines_after(monotonic_time limit)
{
    const std::scoped_lock lock{mutex_};
    latest_deadline_ = limit;
}

void gate::stop(duration limit)
{
    stop_accepting();
    if (limit != duration::max()) {
        std::unique_lock lock{mutex_};
        call_ended_.wait_for(lock, limit,
                             [this] { return state_.running() == 0 && state_.waiting() == 0; });
        state_.cancel_if([](const gate_call& /*item*/) { return true; });
    }
    work_available_.notify_all();
    for (auto& thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
    {
        const std::scoped_lock lock{mutex_};
        watch_ended_ = true;
    }
    check_needed_.notify_all();
    if (watcher_.joinable()) {
        watcher_.join();
    }
}

std::uint32_t gate::running() const
{
    const std::scoped_lock lock{mutex_};
    return state_.running();
}

std::size_t gate::waiting() const
{
    const std::scoped_lock lock{mutex_};
    return state_.waiting();
}

std::uint32_t gate::slots() const
{
    const std::scoped_lock lock{mutex_};
    return state_.slots();
}

gate_counts gate::counts() const
{
    const std::scoped_lock lock{mutex_};
    return state_.counts(environment_.time.now());
}

bool gate::silent() const
{
    const std::scoped_lock lock{mutex_};
    return state_.silent();
}

void gate::on_frame(const std::shared_ptr<frame_sink>& connection, frame_kind kind,
                    std::uint64_t correlation, std::span<const std::byte> payload)
{
    switch (kind) {
    case frame_kind::call_request:
        on_call(connection, correlation, payload);
        break;
    case frame_kind::call_cancel:
        cancel_if([&connection, correlation](const gate_call& item) {
            return item.connection == connection && item.correlation == correlation;
        });
        break;
    case frame_kind::crash_reports:
        on_crash_reports(*connection, correlation, payload);
        break;
    default:
        break;
    }
}

void gate::on_closed(const frame_sink& connection, bool /*established*/)
{
    cancel_if(
        [&connection](const gate_call& item) { return item.connection.get() == &connection; });
}

void gate::on_call(const std::shared_ptr<frame_sink>& connection, std::uint64_t correlation,
                   std::span<const std::byte> payload)
{
    auto call = decode<call_request>(payload);
    if (!call) {
        refuse_malformed(*connection, call.reason().message);
        return;
    }
    const auto item = std::make_shared<gate_call>();
    item->connection = connection;
    item->correlation = correlation;
    item->arrived = environment_.time.now();
    item->deadline = std::min(item->arrived + call->remaining, monotonic_time{call->expires});
    item->digest = digest_of(*call);
    item->call = std::move(*call);
    admit(item);
}

void gate::on_crash_reports(frame_sink& connection, std::uint64_t correlation,
                            std::span<const std::byte> payload)
{
    const auto reports = decode<crash_reports>(payload);
    if (!reports || reports->items.empty()) {
        refuse_malformed(connection, reports ? "no crash" : reports.reason().message);
        return;
    }
    backend_client_.add_crash_reports(reports->items);
    connection.send(frame_kind::crash_acknowledged, correlation, {});
}

void gate::refuse_malformed(frame_sink& connection, std::string_view reason)
{
    environment_.log.write(event_id::call_frame_malformed, reason);
    connection.close();
}

void gate::refuse(const gate_call& item, call_refusal reason, std::optional<duration> retry_after)
{
    auto response = refused(reason);
    if (retry_after) {
        response.retry_after = std::chrono::duration_cast<std::chrono::milliseconds>(*retry_after);
    }
    {
        const std::scoped_lock lock{mutex_};
        response.load = state_.load(environment_.time.now());
    }
    ++refusals_.at(static_cast<std::size_t>(reason));
    call_log_.log_refused(item, response);
    respond(*item.connection, item.correlation, response);
}

/** Refuses calls that were removed from the queue. */
void gate::refuse_queued(event_id cause, std::span<const call_pointer> items)
{
    for (const auto& item : items) {
        std::unique_lock lock{mutex_};
        const auto retry_after = state_.retry_after(*item, environment_.time.now());
        lock.unlock();
        call_log_.log_removed(cause, *item);
        refuse(*item, call_refusal::overload, retry_after);
    }
}

void gate::admit(call_pointer item)
{
    std::unique_lock lock{mutex_};
    const auto now = environment_.time.now();
    const auto removed = remove_queued_if_silent(now);
    const auto reason = stopping_ || item->deadline > latest_deadline_
                            ? call_refusal::leaving
                            : state_.decide(*item, backend_client_.is_blocked(item->digest), now);
    if (reason != call_refusal::none) {
        const auto retry_after = reason == call_refusal::overload
                                     ? std::optional{state_.retry_after(*item, now)}
                                     : std::nullopt;
        lock.unlock();
        if (reason == call_refusal::crashing) {
            environment_.log.write(event_id::crashing_request_refused,
                                   item->call.service.str() + item->call.request.target);
        }
        refuse(*item, reason, retry_after);
    }
    else {
        const auto latest_start = item->latest_start;
        const auto expiring = state_.push(std::move(item)) ? state_.remove_expiring(now)
                                                           : std::vector<call_pointer>{};
        const auto displaced = state_.remove_displaced();
        const bool check_sooner = !state_.has_work() && latest_start < next_check_;
        const bool held = state_.held_by_abandoned_calls();
        lock.unlock();
        work_available_.notify_one();
        if (check_sooner) {
            check_needed_.notify_one();
        }
        if (held) {
            call_log_.log_held();
        }
        refuse_queued(event_id::queued_call_displaced, displaced);
        refuse_queued(event_id::queued_call_hopeless, expiring);
    }
    for (const auto& dropped : removed) {
        refuse(*dropped, call_refusal::silent, std::nullopt);
    }
}

/** Removes the queued calls if the backend server has just been found silent. */
std::vector<gate::call_pointer> gate::remove_queued_if_silent(monotonic_time now)
{
    const bool was_silent = state_.silent();
    auto removed = state_.remove_queued_if_silent(now);
    if (state_.silent() && !was_silent) {
        environment_.log.write(event_id::backend_silent,
                               fmt::format("{}: {} calls in flight without a response",
                                           state_.backend()->identity, state_.running()));
    }
    return removed;
}

void gate::cancel_if(const gate_state::call_predicate& predicate)
{
    const std::scoped_lock lock{mutex_};
    state_.cancel_if(predicate);
}

void gate::run()
{
    set_thread_name("gate");
    std::unique_lock lock{mutex_};
    while (true) {
        work_available_.wait(
            lock, [this] { return (stopping_ && state_.waiting() == 0) || state_.has_work(); });
        if (state_.waiting() == 0) {
            // Other threads may be waiting since before the last call was removed from the queue.
            work_available_.notify_all();
            return;
        }
        const auto now = environment_.time.now();
        const auto expiring = state_.remove_expiring(now);
        const auto item = state_.pop();
        const auto backend = state_.backend();
        const auto reason =
            item ? state_.refusal_at_start(*item, backend_client_.is_blocked(item->digest))
                 : call_refusal::none;
        const bool runs = item && reason == call_refusal::none;
        if (runs) {
            state_.start(item, now);
        }
        lock.unlock();
        refuse_queued(event_id::queued_call_hopeless, expiring);
        if (runs) {
            run_call(item, *backend);
        }
        else if (item) {
            refuse(*item, reason, std::nullopt);
        }
        lock.lock();
    }
}

/**
 * The threads of the slots check the queue when a slot becomes free. While all slots are busy with
 * calls that take longer than expected, this thread refuses queued calls before their deadlines.
 */
void gate::watch_queue()
{
    set_thread_name("gate-queue");
    std::unique_lock lock{mutex_};
    while (!watch_ended_) {
        const auto now = environment_.time.now();
        const auto expiring = state_.remove_expiring(now);
        if (state_.has_work()) {
            work_available_.notify_one();
        }
        if (!expiring.empty()) {
            lock.unlock();
            refuse_queued(event_id::queued_call_hopeless, expiring);
            lock.lock();
            continue;
        }
        const auto check = state_.next_check();
        next_check_ = check.value_or(monotonic_time::max());
        if (check) {
            check_needed_.wait_for(
                lock, std::clamp<duration>(*check - now, min_check_period, max_check_period));
        }
        else {
            check_needed_.wait(lock);
        }
    }
}

void gate::run_call(const call_pointer& item, const backend_server& backend)
{
    auto response = call_response::unknown("unexpected error at the gate");
    run_guarded(
        [&] { response = backend_client_.run(*item, backend); },
        [this](std::string_view error) { environment_.log.write(event_id::task_failed, error); });
    call_log_.log_finished(*item, backend, response);
    {
        const std::scoped_lock lock{mutex_};
        if (state_.end(item, response, environment_.time.now())) {
            environment_.log.write(event_id::backend_responsive, backend.identity);
        }
        response.load = state_.load(environment_.time.now());
        response.run_time = std::chrono::duration_cast<std::chrono::microseconds>(
            environment_.time.now() - item->started);
    }
    work_available_.notify_one();
    respond(*item->connection, item->correlation, response);
    call_ended_.notify_all();
}

} // namespace savorywheel
