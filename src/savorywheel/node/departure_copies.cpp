#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/membership/replica_selection.hpp>
#include <savorywheel/node/departure_copies.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

/** A single replica may be killed together with the owner. */
constexpr std::size_t min_copies = 2;
/** One of the replicas may be out of reach. */
constexpr std::size_t sufficient_copies = replica_count - 1;

} // namespace

departure_copies::departure_copies(environment env, returned_callback returned)
    : environment_{std::move(env)}, returned_{std::move(returned)},
      delivery_{peer_delivery::environment{environment_.loop, environment_.network,
                                           environment_.requests}}
{
}

void departure_copies::copy(std::span<const backend_departure> departures, const callback& copied)
{
    const auto replicas = select_replicas(environment_.self(), environment_.members(), false);
    const auto needed = std::min(replicas.size(), sufficient_copies);
    if (needed < min_copies) {
        environment_.log.write(event_id::departures_not_copied,
                               fmt::format("{} other nodes", replicas.size()));
        return;
    }
    const departure_copy message{environment_.self().id, {{departures.begin(), departures.end()}}};
    const auto payload = encode(message);
    const auto left = std::make_shared<std::size_t>(needed);
    for (const auto& replica : replicas) {
        delivery_.send(replica.peer, frame_kind::departure_copy, payload,
                       [this, left, needed, copied] {
                           if (*left > 0 && --*left == 0) {
                               environment_.log.write(event_id::departures_copied,
                                                      fmt::format("{} nodes", needed));
                               copied();
                           }
                       });
    }
}

void departure_copies::on_member_changed(const member_update& update)
{
    const auto* departures = kept_.find(update.record.id, environment_.loop.time().now());
    if (departures == nullptr || update.status != member_status::alive) {
        return;
    }
    delivery_.send(update.record.peer, frame_kind::departure_copy,
                   encode(departure_copy{update.record.id, *departures}), [] {});
}

void departure_copies::on_frame(const std::shared_ptr<frame_sink>& connection, frame_kind /*kind*/,
                                std::uint64_t correlation, std::span<const std::byte> payload)
{
    auto message = decode<departure_copy>(payload);
    if (!message) {
        connection->close_malformed(message.reason());
        return;
    }
    environment_.quota.post(payload.size(),
                            [this, connection, correlation, received = std::move(*message)] {
                                receive(received);
                                connection->send(frame_kind::departure_copied, correlation, {});
                            });
}

void departure_copies::on_closed(const frame_sink& /*connection*/, bool /*established*/) {}

void departure_copies::receive(const departure_copy& message)
{
    if (message.owner == environment_.self().id) {
        returned_(message.departures.items);
        return;
    }
    kept_.put(message.owner, message.departures, environment_.loop.time().now());
}

} // namespace savorywheel
