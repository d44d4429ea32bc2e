#include <savorywheel/core/thread_name.hpp>
#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/traffic/gate.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

constexpr std::uint32_t max_slots = 256;
/** A call with less than this part of the mean time left cannot be expected to finish. */
constexpr int hopeless_divisor = 2;

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
    if (!backend || !backend_ || backend->identity != backend_->identity) {
        silence_.reset();
    }
    backend_ = std::move(backend);
    const auto slots = backend_ ? std::min(backend_->slots, max_slots) : 0;
    while (threads_.size() < slots && !stopping_) {
        threads_.emplace_back([this] { run(); });
    }
    wake_.notify_all();
}

void gate::stop()
{
    {
        const std::scoped_lock lock{mutex_};
        stopping_ = true;
    }
    wake_.notify_all();
    for (auto& thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

std::uint32_t gate::running() const
{
    const std::scoped_lock lock{mutex_};
    return static_cast<std::uint32_t>(running_.size());
}

std::size_t gate::waiting() const
{
    const std::scoped_lock lock{mutex_};
    return queue_.size();
}

std::uint32_t gate::slots() const
{
    const std::scoped_lock lock{mutex_};
    return backend_ ? backend_->slots : 0;
}

bool gate::silent() const
{
    const std::scoped_lock lock{mutex_};
    return silence_.silent();
}

void gate::on_frame(const std::shared_ptr<frame_sink>& source, frame_kind kind,
                    std::uint64_t correlation, std::span<const std::byte> payload)
{
    switch (kind) {
    case frame_kind::call_request:
        on_call(source, correlation, payload);
        break;
    case frame_kind::call_cancel:
        cancel_if([&source, correlation](const gate_call& item) {
            return item.source == source && item.correlation == correlation;
        });
        break;
    case frame_kind::crash_report:
        on_crash_report(*source, correlation, payload);
        break;
    default:
        break;
    }
}

void gate::on_closed(const frame_sink& source, bool /*established*/)
{
    cancel_if([&source](const gate_call& item) { return item.source.get() == &source; });
}

void gate::on_call(const std::shared_ptr<frame_sink>& source, std::uint64_t correlation,
                   std::span<const std::byte> payload)
{
    auto call = decode<call_request>(payload);
    if (!call) {
        refuse_malformed(*source, call.reason().message);
        return;
    }
    const auto item = std::make_shared<gate_call>();
    item->source = source;
    item->correlation = correlation;
    item->arrived = environment_.time.now();
    item->deadline = std::min(item->arrived + call->remaining, monotonic_time{call->expires});
    item->digest = digest_of(call->request);
    item->call = std::move(*call);
    admit(item);
}

void gate::on_crash_report(frame_sink& source, std::uint64_t correlation,
                           std::span<const std::byte> payload)
{
    const auto report = decode<crash_report>(payload);
    if (!report) {
        refuse_malformed(source, report.reason().message);
        return;
    }
    runner_.note_crash(*report);
    source.send(frame_kind::crash_noted, correlation, {});
}

void gate::refuse_malformed(frame_sink& source, std::string_view reason)
{
    environment_.log.write(event_id::call_frame_malformed, reason);
    source.close();
}

call_refusal gate::refusal(const gate_call& item) const
{
    if (stopping_) {
        return call_refusal::leaving;
    }
    if (const auto reason = start_refusal(item); reason != call_refusal::none) {
        return reason;
    }
    return view_of(item).decide();
}

/** Takes out of the queue what waits for a backend server that has just fallen silent. */
std::vector<gate::call_pointer> gate::take_stuck()
{
    if (!backend_ || silence_.silent()) {
        return {};
    }
    std::vector<monotonic_time> started;
    started.reserve(running_.size());
    for (const auto& item : running_) {
        started.push_back(item->started);
    }
    if (!silence_.look(started, service_time_.mean(), environment_.time.now())) {
        return {};
    }
    environment_.log.write(event_id::backend_silent,
                           fmt::format("{}: {} calls held", backend_->identity, started.size()));
    return queue_.remove_if([](const gate_call& /*item*/) { return true; });
}

admission gate::view_of(const gate_call& item) const
{
    admission view;
    view.slots = backend_ ? backend_->slots : 0;
    view.running = static_cast<std::uint32_t>(running_.size());
    view.waiting = queue_.ahead_of(item.call.priority);
    view.service_time = service_time_.mean();
    view.remaining = item.deadline - environment_.time.now();
    view.preferred = item.call.preferred;
    view.highest_rank = item.call.priority == 0;
    return view;
}

gate_load gate::load() const
{
    return {static_cast<std::uint32_t>(running_.size()), static_cast<std::uint32_t>(queue_.size()),
            std::chrono::duration_cast<std::chrono::microseconds>(service_time_.mean())};
}

std::vector<gate::call_pointer> gate::take_hopeless()
{
    const auto latest = environment_.time.now() + service_time_.mean() / hopeless_divisor;
    return queue_.remove_if([latest](const gate_call& item) { return latest > item.deadline; });
}

void gate::refuse(const gate_call& item, call_refusal reason, std::optional<duration> retry_after)
{
    auto response = refused(reason);
    if (retry_after) {
        response.retry_after = std::chrono::duration_cast<std::chrono::milliseconds>(*retry_after);
    }
    {
        const std::scoped_lock lock{mutex_};
        response.load = load();
    }
    ++refusals_.at(static_cast<std::size_t>(reason));
    journal_.refused(item, response);
    respond(*item.source, item.correlation, response);
}

call_refusal gate::start_refusal(const gate_call& item) const
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
    if (runner_.blocked(item.digest)) {
        return call_refusal::crashing;
    }
    return item.stop.cancelled() ? call_refusal::expired : call_refusal::none;
}

void gate::admit(call_pointer item)
{
    std::unique_lock lock{mutex_};
    const auto stuck = take_stuck();
    auto reason = refusal(*item);
    if (reason == call_refusal::none && silence_.silent() &&
        !silence_.take_probe(environment_.time.now())) {
        reason = call_refusal::silent;
    }
    if (reason != call_refusal::none) {
        const auto retry_after = reason == call_refusal::overload
                                     ? std::optional{view_of(*item).retry_after()}
                                     : std::nullopt;
        lock.unlock();
        if (reason == call_refusal::crashing) {
            environment_.log.write(event_id::crashing_request_refused,
                                   item->call.service.str() + item->call.request.target);
        }
        refuse(*item, reason, retry_after);
    }
    else {
        queue_.push(std::move(item));
        lock.unlock();
        wake_.notify_one();
    }
    for (const auto& late : stuck) {
        refuse(*late, call_refusal::silent, std::nullopt);
    }
}

template<typename Condition>
void gate::cancel_if(Condition condition)
{
    const std::scoped_lock lock{mutex_};
    queue_.remove_if([&condition](const gate_call& item) { return condition(item); });
    for (const auto& item : running_) {
        if (condition(*item)) {
            item->stop.cancel();
        }
    }
}

void gate::run()
{
    name_this_thread("gate");
    std::unique_lock lock{mutex_};
    while (true) {
        wake_.wait(lock, [this] {
            return (stopping_ && queue_.empty()) ||
                   (!queue_.empty() && (!backend_ || running_.size() < backend_->slots));
        });
        if (queue_.empty()) {
            return;
        }
        const auto hopeless = take_hopeless();
        const auto item = queue_.pop();
        const auto backend = backend_;
        const auto reason = item ? start_refusal(*item) : call_refusal::none;
        if (item) {
            item->started = environment_.time.now();
            running_.push_back(item);
        }
        lock.unlock();
        for (const auto& late : hopeless) {
            refuse(*late, call_refusal::overload, std::nullopt);
        }
        if (item) {
            run_call(item, backend, reason);
        }
        lock.lock();
    }
}

void gate::run_call(const call_pointer& item, const std::optional<backend_server>& backend,
                    call_refusal reason)
{
    auto response = reason == call_refusal::none ? runner_.run(*item, *backend) : refused(reason);
    if (reason == call_refusal::none) {
        journal_.ran(*item, *backend, response);
    }
    else {
        ++refusals_.at(static_cast<std::size_t>(reason));
        journal_.refused(*item, response);
    }
    {
        const std::scoped_lock lock{mutex_};
        std::erase(running_, item);
        if (response.result == call_result::answered) {
            service_time_.record(environment_.time.now() - item->started);
            if (silence_.silent()) {
                environment_.log.write(event_id::backend_answers_again, backend->identity);
            }
            silence_.answered(environment_.time.now());
        }
        response.load = load();
    }
    wake_.notify_one();
    respond(*item->source, item->correlation, response);
}

} // namespace savorywheel
