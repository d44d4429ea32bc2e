#include <savorywheel/distribution/floor_service.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <utility>

namespace savorywheel {

floor_service::floor_service(bool alone, environment surroundings)
    : environment_{std::move(surroundings)},
      keeper_{alone, floor_keeper::environment{environment_.loop.time(), environment_.loop.timers(),
                                               environment_.random, *this, environment_.listener,
                                               environment_.members, environment_.self}}
{
}

void floor_service::on_frame(const std::shared_ptr<frame_sink>& source, frame_kind kind,
                             std::uint64_t correlation, std::span<const std::byte> payload)
{
    const auto message = decode<floor_message>(payload);
    if (!message) {
        source->refuse(message.reason());
        return;
    }
    environment_.quota.post(payload.size(), [this, source, kind, correlation, floor = *message] {
        if (kind == frame_kind::floor_put) {
            remember(source, correlation, floor);
        }
        else {
            answer(source, correlation, floor.node);
        }
    });
}

void floor_service::on_closed(const frame_sink& /*source*/, bool /*established*/) {}

void floor_service::put_floor(const member_record& buddy, const floor_message& floor)
{
    request(buddy, frame_kind::floor_put, floor,
            [this, id = buddy.id](const auto& stored) { keeper_.on_stored(id, stored.version); });
}

void floor_service::get_floor(const member_record& buddy, const node_id& node)
{
    if (environment_.joined()) {
        request(buddy, frame_kind::floor_get, {node, {}, false, 0},
                [this, id = buddy.id](const auto& value) { keeper_.on_value(id, value); });
    }
}

void floor_service::read_store_head()
{
    environment_.read_store();
}

void floor_service::remember(const std::shared_ptr<frame_sink>& source, std::uint64_t correlation,
                             const floor_message& floor)
{
    floors_.put(floor.node, floor.version);
    source->send(frame_kind::floor_stored, correlation,
                 encode(floor_message{floor.node, floor.version, keeper_.settled(), 0}));
    environment_.member_has(floor.node, floor.version);
}

void floor_service::answer(const std::shared_ptr<frame_sink>& source, std::uint64_t correlation,
                           const node_id& node)
{
    const auto live = static_cast<std::uint32_t>(environment_.members().live().size());
    source->send(frame_kind::floor_value, correlation,
                 encode(floor_message{node, floors_.find(node), keeper_.settled(), live}));
}

void floor_service::request(const member_record& buddy, frame_kind kind,
                            const floor_message& message,
                            std::function<void(const floor_message&)> done)
{
    environment_.requests.submit(
        environment_.network.connection_to(buddy.peer), kind, encode(message),
        [this, done = std::move(done)](const request_client::answer& answer) {
            if (!answer) {
                return;
            }
            if (const auto reply = decode<floor_message>(*answer)) {
                environment_.quota.post(answer->size(), [done, value = *reply] { done(value); });
            }
        });
}

} // namespace savorywheel
