#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/traffic/outgoing_call.hpp>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

/** Above the 80 ms that opening a connection takes between regions: two round trips of 40 ms. */
constexpr std::chrono::milliseconds connect_timeout{250};

call_response decode_response(const request_client::response& answer)
{
    if (!answer) {
        if (answer.reason().code == failure_code::unavailable) {
            return call_response::not_run(call_refusal::absent, answer.reason().message);
        }
        return call_response::unknown(answer.reason().message);
    }
    auto response = decode<call_response>(*answer);
    if (!response) {
        return call_response::unknown(response.reason().message);
    }
    return std::move(*response);
}

} // namespace

outgoing_call::outgoing_call(environment env, std::shared_ptr<frame_sink> connection,
                             call_request& call, call_transport::callback done)
    : environment_{env}, connection_{std::move(connection)}, call_{call}, done_{std::move(done)}
{
}

void outgoing_call::start(monotonic_time deadline, std::shared_ptr<cancellation> cancel_signal,
                          std::string unreachable)
{
    deadline_ = deadline;
    cancel_signal_ = std::move(cancel_signal);
    unreachable_ = std::move(unreachable);
    // The callback runs with the signal locked, and the outcome must not be reported under it.
    cancel_signal_->set_callback([weak = weak_from_this(), &loop = environment_.loop] {
        loop.post([weak] {
            if (const auto self = weak.lock()) {
                self->cancel();
            }
        });
    });
    connection_->when_open([self = shared_from_this()](bool open) { self->on_open(open); });
    if (done_ && !sent_) {
        const auto left = deadline_ - environment_.time.now();
        set_timer(std::min<duration>(left, connect_timeout));
    }
}

void outgoing_call::set_timer(duration delay)
{
    timer_ = environment_.loop.after(delay, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_timeout();
        }
    });
}

void outgoing_call::on_open(bool open)
{
    if (!done_) {
        return;
    }
    // Deadline of the call on the peer's clock.
    const auto expires = open ? connection_->to_clock_of_peer(deadline_) : std::nullopt;
    if (!expires) {
        finish(call_response::not_run(call_refusal::absent, unreachable_));
        return;
    }
    call_.expires = *expires;
    sent_ = true;
    set_timer(deadline_ - environment_.time.now());
    correlation_ = environment_.requests.submit(
        connection_, frame_kind::call_request, encode(call_),
        [self = shared_from_this()](const request_client::response& answer) {
            self->on_response(answer);
        });
}

void outgoing_call::on_response(const request_client::response& answer)
{
    finish(decode_response(answer));
}

void outgoing_call::on_timeout()
{
    if (sent_) {
        abandon("the deadline passed");
    }
    else {
        finish(call_response::not_run(call_refusal::absent, unreachable_));
    }
}

void outgoing_call::cancel()
{
    if (sent_) {
        abandon("the caller hung up, or its node stops");
    }
    else {
        finish(
            call_response::not_run(call_refusal::expired, "the caller hung up, or its node stops"));
    }
}

void outgoing_call::abandon(std::string_view reason)
{
    if (environment_.requests.discard(correlation_)) {
        connection_->send(frame_kind::call_cancel, correlation_, {});
    }
    finish(call_response::unknown(std::string{reason}));
}

void outgoing_call::finish(call_response outcome)
{
    const auto done = std::exchange(done_, nullptr);
    if (!done) {
        return;
    }
    timer_.reset();
    cancel_signal_->set_callback({});
    done(std::move(outcome));
}

} // namespace savorywheel
