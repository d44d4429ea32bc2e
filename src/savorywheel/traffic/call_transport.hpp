#ifndef SAVORYWHEEL_TRAFFIC_CALL_TRANSPORT_HPP
#define SAVORYWHEEL_TRAFFIC_CALL_TRANSPORT_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/network_endpoint.hpp>
#include <savorywheel/http/cancellation.hpp>
#include <savorywheel/traffic/call_request.hpp>
#include <savorywheel/traffic/call_response.hpp>

namespace savorywheel {

/** @brief Sends calls to the nodes co-located with backend servers; thread-safe. */
class call_transport {
public:
    call_transport() = default;
    call_transport(const call_transport&) = delete;
    call_transport& operator=(const call_transport&) = delete;
    call_transport(call_transport&&) = delete;
    call_transport& operator=(call_transport&&) = delete;
    virtual ~call_transport() = default;

    /**
     * @brief Sends a call and blocks until its outcome.
     * @param peer Address of the node co-located with the backend server.
     * @param call Call to send.
     * @param deadline When to stop waiting.
     * @return The outcome; unknown if the deadline passed.
     */
    [[nodiscard]] virtual call_response call(const network_endpoint& peer, const call_request& call,
                                             monotonic_time deadline) = 0;

    /**
     * @brief Sends a call and blocks until its outcome or cancellation.
     * @param cancel_signal Cancels the call, on the remote node, too.
     * @return As call(); unknown after cancellation.
     */
    [[nodiscard]] virtual call_response call_until_cancelled(const network_endpoint& peer,
                                                             const call_request& call,
                                                             monotonic_time deadline,
                                                             cancellation& cancel_signal)
    {
        static_cast<void>(cancel_signal);
        return this->call(peer, call, deadline);
    }
};

} // namespace savorywheel

#endif
