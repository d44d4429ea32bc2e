#ifndef SAVORYWHEEL_TRAFFIC_PEER_CALL_TRANSPORT_HPP
#define SAVORYWHEEL_TRAFFIC_PEER_CALL_TRANSPORT_HPP

#include <savorywheel/core/scheduler.hpp>
#include <savorywheel/traffic/call_transport.hpp>
#include <savorywheel/transport/peer_network.hpp>
#include <savorywheel/transport/request_client.hpp>

namespace savorywheel {

/** @brief Sends calls over the stream connections between nodes. */
class peer_call_transport final : public call_transport {
public:
    /** @brief Dependencies; all must outlive the calls. */
    struct environment {
        peer_network& network;
        /** @brief Matches responses to calls. */
        request_client& requests;
        const clock& time;
        /** @brief Runs on the stream thread, which is the traffic thread. */
        scheduler& loop;
    };

    /** @param env Dependencies. */
    explicit peer_call_transport(environment env) noexcept : environment_{env} {}

    void call(const network_endpoint& peer, call_request& call, monotonic_time deadline,
              const std::shared_ptr<cancellation>& cancel_signal, callback done) override;

private:
    environment environment_;
};

} // namespace savorywheel

#endif
