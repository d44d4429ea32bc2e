#include <savorywheel/node/document_config_provider.hpp>

#include <fmt/format.h>

#include <utility>

namespace savorywheel {

document_config_provider::document_config_provider(const configuration_decoder& decoder,
                                                   const order_codec& orders, environment env)
    : environment_{std::move(env)}, documents_{decoder, orders, document_environment()},
      datagrams_{document_datagrams::environment{environment_.quota, environment_.datagrams,
                                                 documents_, environment_.members.self().peer}},
      confirmations_{confirmation_service::environment{
          environment_.loop, environment_.quota, environment_.random, environment_.store,
          environment_.datagrams, environment_.log, environment_.members, documents_,
          environment_.keys}},
      duty_{watch_environment()}, directory_{environment_.members.self(), directory_environment()},
      restores_{restore_environment(orders)}
{
}

document_service::environment document_config_provider::document_environment()
{
    return {environment_.loop,
            environment_.quota,
            environment_.random,
            environment_.store,
            environment_.network,
            environment_.requests,
            environment_.log,
            [this] { apply(); },
            [this](bool reachable) { on_store_health(reachable); },
            [this] { confirmations_.check_now(); },
            [this] { confirmations_.announce(); },
            [this](const network_endpoint& peer, std::uint64_t request,
                   const document_request& base) { datagrams_.ask(peer, request, base); }};
}

watch_duty::environment document_config_provider::watch_environment()
{
    return {environment_.loop, environment_.log, environment_.members,
            [this](const watcher_choice& choice) {
                documents_.set_choice(choice);
                confirmations_.set_choice(choice);
            },
            environment_.every_node_watches};
}

member_directory::environment document_config_provider::directory_environment()
{
    return {
        environment_.loop,
        environment_.worker,
        environment_.random,
        environment_.log,
        [this] { return environment_.members.table().live().size() > 1; },
        [this](std::span<const network_endpoint> peers) { environment_.members.add_seeds(peers); }};
}

restore_monitor::environment
document_config_provider::restore_environment(const order_codec& orders)
{
    return {environment_.loop,
            environment_.store,
            environment_.worker,
            environment_.log,
            orders,
            environment_.members.self().id,
            [this]() -> const member_table& { return environment_.members.table(); },
            [this]() -> const operator_documents& { return documents_.documents(); },
            [this] {
                directory_.on_store_restored();
                environment_.store_restored();
            }};
}

void document_config_provider::start()
{
    documents_.start();
    confirmations_.start();
    duty_.start();
    directory_.start();
    restores_.start();
}

void document_config_provider::stop()
{
    documents_.stop();
    confirmations_.stop();
    duty_.stop();
    restores_.stop();
    directory_.stop();
}

void document_config_provider::on_members_changed()
{
    confirmations_.on_members_changed();
    duty_.on_members_changed();
    if (orders_.depends_on_members()) {
        apply();
    }
}

void document_config_provider::on_head_received(const network_endpoint& peer,
                                                const configuration_head& head)
{
    documents_.on_head_received(peer, head);
}

void document_config_provider::apply()
{
    const auto& known = documents_.documents();
    // Peers may lack the orders of a node that has no configuration yet.
    environment_.members.set_head(known.head());
    if (known.revision == 0) {
        return;
    }
    auto state =
        orders_.build(known, environment_.members.table(), environment_.loop.time().calendar_now());
    if (last_state_ == state) {
        return;
    }
    environment_.log.write(event_id::configuration_in_force,
                           fmt::format("version {}, state {}, last change from {}",
                                       known.configuration.version.number, state.version().number,
                                       documents_.source()));
    environment_.state_changed(state);
    last_state_ = std::move(state);
}

void document_config_provider::on_store_health(bool reachable)
{
    auto record = environment_.members.self();
    if (record.store_reachable != reachable) {
        record.store_reachable = reachable;
        environment_.members.update_self(std::move(record));
        duty_.on_members_changed();
    }
}

} // namespace savorywheel
