#ifndef SAVORYWHEEL_TRAFFIC_GATE_CALL_HPP
#define SAVORYWHEEL_TRAFFIC_GATE_CALL_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/http/cancellation.hpp>
#include <savorywheel/traffic/call_request.hpp>
#include <savorywheel/traffic/request_digest.hpp>
#include <savorywheel/transport/frame_sink.hpp>

#include <memory>

namespace savorywheel {

/** @brief A call at a gate, waiting or running. */
struct gate_call {
    /** @brief Connection that it came on. */
    std::shared_ptr<frame_sink> source;
    /** @brief Its number on that connection. */
    std::uint64_t correlation{};
    /** @brief The call. */
    call_request call;
    /** @brief When it must be finished. */
    monotonic_time deadline;
    /** @brief When it arrived. */
    monotonic_time arrived;
    /** @brief Digest of the request. */
    request_digest digest{};
    /** @brief When it started; nothing is known before. */
    monotonic_time started;
    /** @brief Cancels it. */
    cancellation stop;
};

} // namespace savorywheel

#endif
