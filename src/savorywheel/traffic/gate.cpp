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

std::chrono::milliseconds until(monotonic_time deadline, monotonic_time now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
}

} // namespace

gate::~gate()
{
    stop();
}

void gate::set_backend(std::optional<backend_server> backend)
{
    const std::scoped_lock lock{mutex_};
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
    {
        const std::scoped_lock lock{mutex_};
        suspects_.add(*report, environment_.time.now());
    }
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
    note_refusal(item, response);
    respond(*item.source, item.correlation, response);
}

void gate::note_refusal(const gate_call& item, const call_response& response)
{
    const auto left = until(item.deadline, environment_.time.now());
    std::vector<log_field> fields{{"request", item.call.request_id},
                                  {"service", item.call.service.str()},
                                  {"version", item.call.version.str()},
                                  {"rank", std::to_string(item.call.priority)},
                                  {"left_ms", std::to_string(left.count())},
                                  {"preferred_ms", std::to_string(item.call.preferred.count())}};
    if (response.load) {
        const auto time =
            std::chrono::duration_cast<std::chrono::milliseconds>(response.load->service_time);
        fields.push_back({"running", std::to_string(response.load->running)});
        fields.push_back({"waiting", std::to_string(response.load->waiting)});
        fields.push_back({"service_ms", std::to_string(time.count())});
    }
    journal_.write(event_id::gate_refused, response.reason, fields);
}

void gate::note_outcome(const gate_call& item, const backend_server& backend,
                        const call_response& response)
{
    const auto ran = until(environment_.time.now(), item.started);
    const auto waited = until(item.started, item.arrived);
    const std::vector<log_field> fields{{"request", item.call.request_id},
                                        {"backend", backend.identity},
                                        {"waited_ms", std::to_string(waited.count())},
                                        {"ran_ms", std::to_string(ran.count())},
                                        {"status", std::to_string(response.response.status)},
                                        {"result", std::string{to_string(response.result)}}};
    if (response.result == call_result::unknown) {
        journal_.write(event_id::gate_unanswered, response.reason, fields);
        return;
    }
    journal_.write_sampled(event_id::gate_answered, item.call.request_id, backend.service.str(),
                           fields);
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
    if (suspects_.blocked(item.digest, environment_.time.now())) {
        return call_refusal::crashing;
    }
    return item.stop.cancelled() ? call_refusal::expired : call_refusal::none;
}

void gate::admit(call_pointer item)
{
    std::unique_lock lock{mutex_};
    if (const auto reason = refusal(*item); reason != call_refusal::none) {
        const auto retry_after = reason == call_refusal::overload
                                     ? std::optional{view_of(*item).retry_after()}
                                     : std::nullopt;
        lock.unlock();
        if (reason == call_refusal::crashing) {
            environment_.log.write(event_id::crashing_request_refused,
                                   item->call.service.str() + item->call.request.target);
        }
        refuse(*item, reason, retry_after);
        return;
    }
    queue_.push(std::move(item));
    lock.unlock();
    wake_.notify_one();
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
    auto response = reason == call_refusal::none ? execute(*item, *backend) : refused(reason);
    if (reason == call_refusal::none) {
        note_outcome(*item, *backend, response);
    }
    else {
        note_refusal(*item, response);
    }
    {
        const std::scoped_lock lock{mutex_};
        std::erase(running_, item);
        if (response.result == call_result::answered) {
            service_time_.record(environment_.time.now() - item->started);
            suspects_.clear(item->digest);
        }
        response.load = load();
    }
    wake_.notify_one();
    respond(*item->source, item->correlation, response);
}

call_response gate::execute(gate_call& item, const backend_server& backend)
{
    item.started = environment_.time.now();
    const auto remaining = until(item.deadline, item.started);
    if (remaining.count() <= 0) {
        return refused(call_refusal::expired);
    }
    auto& request = item.call.request;
    environment_.dialect.address(request, backend, remaining);
    auto answer =
        environment_.client.send_until_cancelled(backend.endpoint, request, remaining, item.stop);
    if (answer) {
        return take_answer(request, backend, std::move(*answer));
    }
    return fail(item, backend, answer.reason());
}

call_response gate::take_answer(const http_request& request, const backend_server& backend,
                                http_response answer)
{
    switch (environment_.dialect.judge(request, answer)) {
    case answer_verdict::whole:
        return {call_result::answered, call_refusal::none, {}, std::move(answer), true, {}};
    case answer_verdict::not_run: {
        auto refusal = call_response::not_run(call_refusal::overload,
                                              "the backend server has not run the request");
        refusal.reached_server = true;
        return refusal;
    }
    case answer_verdict::untrusted:
        break;
    }
    // What the connection carries next may belong to another request as well.
    environment_.client.close_idle(backend.endpoint);
    return call_response::unknown("the backend server's answer cannot be passed on");
}

call_response gate::fail(const gate_call& item, const backend_server& backend,
                         const failure& reason)
{
    if (reason.code == failure_code::unavailable) {
        return call_response::not_run(call_refusal::absent, "the backend server refused the "
                                                            "connection: " +
                                                                reason.message);
    }
    if (reason.code == failure_code::unknown_outcome && !item.stop.cancelled() &&
        !environment_.client.accepts_connections(backend.endpoint)) {
        record_crash(item, backend);
    }
    return call_response::unknown(reason.message);
}

void gate::record_crash(const gate_call& item, const backend_server& backend)
{
    crash_report report{backend.service, environment_.self, 0, item.digest};
    {
        const std::scoped_lock lock{mutex_};
        if (crashes_ == 0 || item.started > last_crash_) {
            ++crashes_;
            last_crash_ = environment_.time.now();
        }
        report.crash = crashes_;
        suspects_.add(report, environment_.time.now());
    }
    environment_.log.write(event_id::backend_crashed,
                           backend.service.str() + item.call.request.target);
    environment_.crashes.spread(report);
}

} // namespace savorywheel
