#ifndef SAVORYWHEEL_TRAFFIC_CALL_TRANSPORT_HPP
#define SAVORYWHEEL_TRAFFIC_CALL_TRANSPORT_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/network_endpoint.hpp>
#include <savorywheel/http/cancellation.hpp>
#include <savorywheel/traffic/call_request.hpp>
#include <savorywheel/traffic/call_response.hpp>

#include <functional>
#include <memory>

namespace savorywheel {

/** @brief Sends calls to the nodes co-located with backend servers; used on a traffic thread. */
class call_transport {
public:
    call_transport() = default;
    call_transport(const call_transport&) = delete;
    call_transport& operator=(const call_transport&) = delete;
    call_transport(call_transport&&) = delete;
    call_transport& operator=(call_transport&&) = delete;
    virtual ~call_transport() = default;

    /** @brief Receives the outcome of a call; called once, on the traffic thread. */
    using callback = std::function<void(call_response)>;

    /**
     * @brief Sends a call.
     * @param peer Address of the node co-located with the backend server.
     * @param call Call to send; its expiry is set. Must stay valid until the outcome.
     * @param deadline When to stop waiting; the outcome is then unknown.
     * @param cancel_signal Cancels the call, on the remote node, too; the outcome is then unknown.
     * @param done Receives the outcome, possibly before this function returns.
     */
    virtual void call(const network_endpoint& peer, call_request& call, monotonic_time deadline,
                      const std::shared_ptr<cancellation>& cancel_signal, callback done) = 0;
};

} // namespace savorywheel

#endif
