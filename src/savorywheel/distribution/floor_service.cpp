#include <savorywheel/distribution/floor_service.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <utility>

namespace savorywheel {

floor_service::floor_service(bool standalone, environment env)
    : environment_{std::move(env)}, coordinator_{
                                        standalone,
                                        floor_coordinator::environment{
                                            environment_.loop.time(), environment_.loop.timers(),
                                            environment_.random, *this, environment_.listener,
                                            environment_.members, environment_.self}}
{
}

void floor_service::on_frame(const std::shared_ptr<frame_sink>& connection, frame_kind kind,
                             std::uint64_t correlation, std::span<const std::byte> payload)
{
    const auto message = decode<floor_message>(payload);
    if (!message) {
        connection->close_malformed(message.reason());
        return;
    }
    environment_.quota.post(payload.size(),
                            [this, connection, kind, correlation, floor = *message] {
                                if (kind == frame_kind::floor_put) {
                                    store_floor(connection, correlation, floor);
                                }
                                else {
                                    send_floor(connection, correlation, floor.node);
                                }
                            });
}

void floor_service::on_closed(const frame_sink& /*connection*/, bool /*established*/) {}

void floor_service::put_floor(const member_record& replica, const floor_message& floor)
{
    request(replica, frame_kind::floor_put, floor, [this, id = replica.id](const auto& stored) {
        coordinator_.on_floor_stored(id, stored.version);
    });
}

void floor_service::get_floor(const member_record& replica, const node_id& node)
{
    if (environment_.joined()) {
        request(
            replica, frame_kind::floor_get, {node, {}, false, 0},
            [this, id = replica.id](const auto& value) { coordinator_.on_floor_value(id, value); });
    }
}

void floor_service::read_store_head()
{
    environment_.read_store();
}

void floor_service::store_floor(const std::shared_ptr<frame_sink>& connection,
                                std::uint64_t correlation, const floor_message& floor)
{
    floors_.put(floor.node, floor.version);
    connection->send(
        frame_kind::floor_stored, correlation,
        encode(floor_message{floor.node, floor.version, coordinator_.floor_known(), 0}));
    environment_.on_member_version(floor.node, floor.version);
}

void floor_service::send_floor(const std::shared_ptr<frame_sink>& connection,
                               std::uint64_t correlation, const node_id& node)
{
    const auto live = static_cast<std::uint32_t>(environment_.members().live().size());
    connection->send(
        frame_kind::floor_value, correlation,
        encode(floor_message{node, floors_.find(node), coordinator_.floor_known(), live}));
}

void floor_service::request(const member_record& replica, frame_kind kind,
                            const floor_message& message,
                            std::function<void(const floor_message&)> done)
{
    environment_.requests.submit(
        environment_.network.connection_to(replica.peer), kind, encode(message),
        [this, done = std::move(done)](const request_client::response& answer) {
            if (!answer) {
                return;
            }
            if (const auto reply = decode<floor_message>(*answer)) {
                environment_.quota.post(answer->size(), [done, value = *reply] { done(value); });
            }
        });
}

} // namespace savorywheel
