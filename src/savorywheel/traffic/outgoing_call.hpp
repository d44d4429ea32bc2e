#ifndef SAVORYWHEEL_TRAFFIC_OUTGOING_CALL_HPP
#define SAVORYWHEEL_TRAFFIC_OUTGOING_CALL_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/scheduler.hpp>
#include <savorywheel/core/subscription.hpp>
#include <savorywheel/http/cancellation.hpp>
#include <savorywheel/traffic/call_request.hpp>
#include <savorywheel/traffic/call_transport.hpp>
#include <savorywheel/transport/frame_sink.hpp>
#include <savorywheel/transport/request_client.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace savorywheel {

/** @brief A call to one node, from the wait for the connection to the outcome. */
class outgoing_call final : public std::enable_shared_from_this<outgoing_call> {
public:
    /** @brief Dependencies; all must outlive the call. */
    struct environment {
        request_client& requests;
        const clock& time;
        /** @brief Runs on the stream thread. */
        scheduler& loop;
    };

    /**
     * @param env Dependencies.
     * @param connection Connection to the node.
     * @param call Call to send; must stay valid until the outcome.
     * @param done Receives the outcome.
     */
    outgoing_call(environment env, std::shared_ptr<frame_sink> connection, call_request& call,
                  call_transport::callback done);

    /**
     * @brief Sends the call as soon as the connection is open.
     * @param deadline When to stop waiting for the response.
     * @param cancel_signal Cancels the call.
     * @param unreachable Reason of the outcome if the connection does not open.
     */
    void start(monotonic_time deadline, std::shared_ptr<cancellation> cancel_signal,
               std::string unreachable);

private:
    void set_timer(duration delay);
    void on_open(bool open);
    void on_response(const request_client::response& answer);
    void on_timeout();
    void cancel();
    void abandon(std::string_view reason);
    void finish(call_response outcome);

    environment environment_;
    std::shared_ptr<frame_sink> connection_;
    call_request& call_;
    call_transport::callback done_;
    monotonic_time deadline_;
    std::shared_ptr<cancellation> cancel_signal_;
    std::string unreachable_;
    subscription timer_;
    std::uint64_t correlation_{};
    bool sent_{};
};

} // namespace savorywheel

#endif
