#include <savorywheel/node/document_plane.hpp>

#include <fmt/format.h>

#include <utility>

namespace savorywheel {

document_plane::document_plane(const configuration_decoder& decoder, const order_codec& orders,
                               environment surroundings)
    : environment_{std::move(surroundings)}, documents_{decoder, orders, document_environment()},
      directory_{environment_.members.self(), directory_environment()}
{
}

document_service::environment document_plane::document_environment()
{
    return {environment_.loop,
            environment_.quota,
            environment_.random,
            environment_.store,
            environment_.network,
            environment_.requests,
            environment_.log,
            [this] { apply(); },
            [this](bool reachable) { on_store_health(reachable); }};
}

member_directory::environment document_plane::directory_environment()
{
    return {
        environment_.loop,
        environment_.worker,
        environment_.random,
        environment_.log,
        [this] { return environment_.members.table().live().size() > 1; },
        [this](std::span<const network_endpoint> peers) { environment_.members.introduce(peers); }};
}

void document_plane::start()
{
    documents_.start();
    directory_.start();
}

void document_plane::stop()
{
    documents_.stop();
    directory_.stop();
}

void document_plane::on_members_changed()
{
    if (orders_.depends_on_members()) {
        apply();
    }
}

void document_plane::on_head_seen(const network_endpoint& peer, config_version head)
{
    documents_.on_head_seen(peer, head);
}

void document_plane::apply()
{
    const auto& known = documents_.documents();
    if (known.revision == 0) {
        return;
    }
    auto state =
        orders_.join(known, environment_.members.table(), environment_.loop.time().calendar_now());
    if (passed_on_ == state) {
        return;
    }
    environment_.log.write(event_id::configuration_in_force,
                           fmt::format("version {}, state {}", known.configuration.version.number,
                                       state.version().number));
    environment_.state_changed(state);
    passed_on_ = std::move(state);
}

void document_plane::on_store_health(bool reachable)
{
    auto record = environment_.members.self();
    if (record.store_reachable != reachable) {
        record.store_reachable = reachable;
        environment_.members.update_self(std::move(record));
    }
}

} // namespace savorywheel
