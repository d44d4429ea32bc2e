#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/traffic/peer_call_transport.hpp>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

namespace savorywheel {

namespace {

/** Above the 80 ms that opening a connection takes between regions: two round trips of 40 ms. */
constexpr std::chrono::milliseconds connect_timeout{250};

/** Passes the response from the stream thread, see request_client, to the waiting thread. */
struct response_slot {
    std::mutex mutex;
    std::condition_variable completed;
    std::optional<request_client::response> answer;
    bool cancelled{};
};

std::optional<request_client::response> await_response(response_slot& slot, monotonic_time deadline,
                                                       cancellation& cancel_signal)
{
    cancel_signal.set_callback([&slot] {
        const std::scoped_lock lock{slot.mutex};
        slot.cancelled = true;
        slot.completed.notify_one();
    });
    std::unique_lock lock{slot.mutex};
    slot.completed.wait_until(lock, deadline,
                              [&slot] { return slot.answer.has_value() || slot.cancelled; });
    auto answer = std::move(slot.answer);
    lock.unlock();
    cancel_signal.set_callback({});
    return answer;
}

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

call_response peer_call_transport::call(const network_endpoint& peer, const call_request& call,
                                        monotonic_time deadline)
{
    cancellation no_cancellation;
    return call_until_cancelled(peer, call, deadline, no_cancellation);
}

call_response peer_call_transport::call_until_cancelled(const network_endpoint& peer,
                                                        const call_request& call,
                                                        monotonic_time deadline,
                                                        cancellation& cancel_signal)
{
    const auto connection = network_.connection_to(peer);
    // Deadline of the call on the peer's clock.
    const auto peer_deadline =
        connection->await_open(deadline, std::min(deadline, time_.now() + connect_timeout));
    if (!peer_deadline) {
        return call_response::not_run(call_refusal::absent,
                                      "no connection to the node " + to_string(peer));
    }
    auto call_with_expiry = call;
    call_with_expiry.expires = *peer_deadline;
    const auto slot = std::make_shared<response_slot>();
    const auto correlation =
        requests_.submit(connection, frame_kind::call_request, encode(call_with_expiry),
                         [slot](request_client::response answer) {
                             const std::scoped_lock lock{slot->mutex};
                             slot->answer = std::move(answer);
                             slot->completed.notify_one();
                         });
    const auto answer = await_response(*slot, deadline, cancel_signal);
    if (answer) {
        return decode_response(*answer);
    }
    if (requests_.discard(correlation)) {
        connection->send(frame_kind::call_cancel, correlation, {});
    }
    return call_response::unknown(cancel_signal.cancelled() ? "the caller hung up"
                                                            : "the deadline passed");
}

} // namespace savorywheel
