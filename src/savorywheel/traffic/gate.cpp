#include <savorywheel/core/thread_name.hpp>
#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/traffic/gate.hpp>

#include <fmt/format.h>

#include <utility>

namespace savorywheel {

namespace {

constexpr std::size_t queued_calls_per_slot = 4;
constexpr std::uint32_t max_slots = 256;
constexpr std::string_view deadline_header = "x-savorywheel-deadline-ms";

void respond(frame_sink& target, std::uint64_t correlation, const call_response& response)
{
    target.send(frame_kind::call_response, correlation, encode(response));
}

call_response not_run(std::string reason)
{
    return {call_result::not_run, std::move(reason), {}};
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
    return running_;
}

std::size_t gate::waiting() const
{
    const std::scoped_lock lock{mutex_};
    return queue_.size();
}

void gate::on_frame(const std::shared_ptr<frame_sink>& source, frame_kind kind,
                    std::uint64_t correlation, std::span<const std::byte> payload)
{
    if (kind == frame_kind::call_cancel) {
        cancel(*source, correlation);
        return;
    }
    auto call = decode<call_request>(payload);
    if (!call) {
        source->close();
        return;
    }
    const auto deadline = std::min(clock_.now() + call->remaining, monotonic_time{call->expires});
    admit({source, correlation, std::move(*call), deadline});
}

void gate::on_closed(const frame_sink& source, bool /*established*/)
{
    const std::scoped_lock lock{mutex_};
    std::erase_if(queue_,
                  [&source](const waiting_call& item) { return item.source.get() == &source; });
}

std::string gate::refusal(const call_request& call) const
{
    if (!backend_ || stopping_) {
        return "no backend server at this node";
    }
    if (backend_->state == server_state::draining) {
        return "the backend server is leaving";
    }
    if (backend_->service != call.service || backend_->version != call.version) {
        return fmt::format("the backend server runs {} {}", backend_->service.str(),
                           backend_->version.str());
    }
    if (queue_.size() >= queued_calls_per_slot * backend_->slots) {
        return "the backend server is overloaded";
    }
    return {};
}

void gate::admit(waiting_call item)
{
    std::unique_lock lock{mutex_};
    if (auto reason = refusal(item.call); !reason.empty()) {
        lock.unlock();
        respond(*item.source, item.correlation, not_run(std::move(reason)));
        return;
    }
    queue_.push_back(std::move(item));
    lock.unlock();
    wake_.notify_one();
}

void gate::cancel(const frame_sink& source, std::uint64_t correlation)
{
    const std::scoped_lock lock{mutex_};
    std::erase_if(queue_, [&source, correlation](const waiting_call& item) {
        return item.source.get() == &source && item.correlation == correlation;
    });
}

void gate::run()
{
    name_this_thread("gate");
    std::unique_lock lock{mutex_};
    while (true) {
        wake_.wait(lock, [this] {
            return stopping_ || (!queue_.empty() && backend_ && running_ < backend_->slots);
        });
        if (queue_.empty() || !backend_) {
            if (stopping_) {
                return;
            }
            continue;
        }
        const auto item = std::move(queue_.front());
        queue_.pop_front();
        const auto backend = *backend_;
        ++running_;
        lock.unlock();
        respond(*item.source, item.correlation, execute(item, backend));
        lock.lock();
        --running_;
        wake_.notify_one();
    }
}

call_response gate::execute(const waiting_call& item, const backend_server& backend)
{
    const auto remaining = until(item.deadline, clock_.now());
    if (remaining.count() <= 0) {
        return not_run("the deadline passed before a slot was free");
    }
    auto request = item.call.request;
    request.headers.push_back({std::string{deadline_header}, std::to_string(remaining.count())});
    auto answer = client_.send(backend.endpoint, request, remaining);
    if (answer) {
        return {call_result::answered, {}, std::move(*answer)};
    }
    if (answer.reason().code == failure_code::unavailable) {
        return not_run("the backend server refused the connection: " + answer.reason().message);
    }
    return {call_result::unknown, answer.reason().message, {}};
}

} // namespace savorywheel
