#ifndef SAVORYWHEEL_TRAFFIC_GATE_CALL_HPP
#define SAVORYWHEEL_TRAFFIC_GATE_CALL_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/http/cancellation.hpp>
#include <savorywheel/traffic/call_class.hpp>
#include <savorywheel/traffic/call_request.hpp>
#include <savorywheel/traffic/expected_service.hpp>
#include <savorywheel/traffic/received_response.hpp>
#include <savorywheel/traffic/request_digest.hpp>
#include <savorywheel/transport/frame_sink.hpp>

#include <memory>
#include <optional>

namespace savorywheel {

/** @brief A queued or running call at a gate. */
struct gate_call {
    /** @brief Connection on which the call arrived. */
    std::shared_ptr<frame_sink> connection;
    /** @brief Correlation id on that connection. */
    std::uint64_t correlation{};
    call_request call;
    /** @brief When the call must be finished. */
    monotonic_time deadline;
    monotonic_time arrived;
    request_digest digest{};
    /** @brief What was expected of the call when it arrived. */
    expected_service expected;
    /** @brief Class in the queue. */
    call_class placement{call_class::on_time};
    /** @brief A start after this time is not worth waiting for. */
    monotonic_time latest_start{monotonic_time::max()};
    /** @brief When it started to run; unset while queued. */
    monotonic_time started;
    /** @brief What the backend server sent; nothing if there was no response. */
    std::optional<received_response> received;
    /** @brief Cancels the call. */
    cancellation cancel_signal;
};

} // namespace savorywheel

#endif
