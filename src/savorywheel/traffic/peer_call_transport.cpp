#include <savorywheel/traffic/outgoing_call.hpp>
#include <savorywheel/traffic/peer_call_transport.hpp>

#include <utility>

namespace savorywheel {

void peer_call_transport::call(const network_endpoint& peer, call_request& call,
                               monotonic_time deadline,
                               const std::shared_ptr<cancellation>& cancel_signal, callback done)
{
    const auto item = std::make_shared<outgoing_call>(
        outgoing_call::environment{environment_.requests, environment_.time, environment_.loop},
        environment_.network.connection_to(peer), call, std::move(done));
    item->start(deadline, cancel_signal, "no connection to the node " + to_string(peer));
}

} // namespace savorywheel
