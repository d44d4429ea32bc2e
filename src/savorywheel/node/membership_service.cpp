#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/node/membership_service.hpp>
#include <savorywheel/transport/frame_header.hpp>

#include <utility>

namespace savorywheel {

membership_service::membership_service(member_record self, std::vector<network_endpoint> seeds,
                                       environment env)
    : environment_{env}, agent_{
                             std::move(self), std::move(seeds), membership_settings{},
                             swim_agent::environment{
                                 environment_.loop.time(), environment_.loop.timers(),
                                 environment_.random, environment_.listener,
                                 [this](const network_endpoint& peer,
                                        const membership_message& message) { send(peer, message); },
                                 [this](const network_endpoint& peer,
                                        const membership_sync_message& request) {
                                     sync(peer, request);
                                 }}}
{
}

outcome<bool> membership_service::on_datagram(std::span<const std::byte> payload)
{
    auto message = decode<membership_message>(payload);
    if (!message) {
        return message.reason();
    }
    if (message->protocol != protocol_version) {
        return failure{failure_code::malformed, "unsupported protocol version"};
    }
    const bool queued = environment_.quota.post(
        payload.size(), [this, item = std::move(*message)] { agent_.receive(item); });
    return queued ? outcome<bool>{true}
                  : failure{failure_code::overload, "event queue full; datagram dropped"};
}

void membership_service::on_frame(const std::shared_ptr<frame_sink>& connection,
                                  frame_kind /*kind*/, std::uint64_t correlation,
                                  std::span<const std::byte> payload)
{
    auto request = decode<membership_sync_message>(payload);
    if (!request) {
        connection->close_malformed(request.reason());
        return;
    }
    environment_.quota.post(
        payload.size(), [this, connection, correlation, message = std::move(*request)] {
            if (const auto answer = agent_.answer_sync(message)) {
                connection->send(frame_kind::membership_full, correlation, encode(*answer));
            }
        });
}

void membership_service::on_closed(const frame_sink& /*connection*/, bool /*established*/) {}

void membership_service::send(const network_endpoint& peer, const membership_message& message)
{
    auto bytes = encode(message);
    if (bytes.size() > max_datagram_bytes) {
        auto truncated = message;
        while (bytes.size() > max_datagram_bytes && !truncated.updates.empty()) {
            truncated.updates.pop_back();
            bytes = encode(truncated);
        }
    }
    environment_.datagrams.send(peer, bytes);
}

void membership_service::sync(const network_endpoint& peer, const membership_sync_message& request)
{
    environment_.requests.submit(
        environment_.network.connection_to(peer), frame_kind::membership_sync, encode(request),
        [this, peer](request_client::response answer) {
            if (answer) {
                environment_.quota.post(answer->size(), [this, peer, bytes = std::move(*answer)] {
                    finish(peer, bytes);
                });
            }
        });
}

void membership_service::finish(const network_endpoint& peer, std::span<const std::byte> payload)
{
    const auto answer = decode<membership_sync_message>(payload);
    if (!answer) {
        return;
    }
    if (const auto last = agent_.finish_sync(*answer)) {
        environment_.network.connection_to(peer)->send(frame_kind::membership_sync, 0,
                                                       encode(*last));
    }
}

} // namespace savorywheel
