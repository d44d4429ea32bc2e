#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/node/membership_service.hpp>

#include <utility>

namespace savorywheel {

membership_service::membership_service(member_record self, std::vector<network_endpoint> seeds,
                                       environment surroundings)
    : environment_{surroundings}, agent_{std::move(self), std::move(seeds), membership_settings{},
                                         swim_agent::environment{
                                             environment_.loop.time(), environment_.loop.timers(),
                                             environment_.random, environment_.listener,
                                             [this](const network_endpoint& peer,
                                                    const membership_message& message) {
                                                 send(peer, message);
                                             },
                                             [this](const network_endpoint& peer) { sync(peer); }}}
{
}

void membership_service::on_datagram(std::span<const std::byte> payload)
{
    if (auto message = decode<membership_message>(payload)) {
        environment_.loop.post([this, item = std::move(*message)] { agent_.receive(item); });
    }
}

void membership_service::on_frame(const std::shared_ptr<frame_sink>& source, frame_kind /*kind*/,
                                  std::uint64_t correlation, std::span<const std::byte> payload)
{
    environment_.loop.post(
        [this, source, correlation, copy = std::vector<std::byte>{payload.begin(), payload.end()}] {
            merge(copy);
            source->send(frame_kind::membership_full, correlation,
                         encode(membership_sync_message{agent_.table().all()}));
        });
}

void membership_service::on_closed(const frame_sink& /*source*/, bool /*established*/) {}

void membership_service::send(const network_endpoint& peer, const membership_message& message)
{
    environment_.datagrams.send(peer, encode(message));
}

void membership_service::sync(const network_endpoint& peer)
{
    environment_.requests.submit(
        environment_.network.connection_to(peer), frame_kind::membership_sync,
        encode(membership_sync_message{agent_.table().all()}),
        [this](request_client::answer answer) {
            if (answer) {
                environment_.loop.post([this, bytes = std::move(*answer)] { merge(bytes); });
            }
        });
}

void membership_service::merge(std::span<const std::byte> payload)
{
    if (const auto message = decode<membership_sync_message>(payload)) {
        agent_.merge_all(message->members);
    }
}

} // namespace savorywheel
