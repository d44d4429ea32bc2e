#include <savorywheel/distribution/commit_reader.hpp>
#include <savorywheel/node/log_config_provider.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

/** Returns true if the settings list no seed other than this node. */
bool has_no_other_seed(const node_settings& settings)
{
    return std::ranges::all_of(settings.seeds,
                               [&](const auto& seed) { return seed == settings.peer; });
}

} // namespace

log_config_provider::log_config_provider(const node_settings& settings, environment env)
    : environment_{std::move(env)}, distributor_{settings.name, settings.domain,
                                                 distribution_environment()},
      floors_{has_no_other_seed(settings), floor_environment()}, relay_{settings,
                                                                        relay_environment()}
{
}

distributor::environment log_config_provider::distribution_environment()
{
    return {environment_.loop,
            environment_.quota,
            environment_.random,
            environment_.network,
            environment_.requests,
            *this,
            [this]() -> const member_table& { return environment_.members.table(); }};
}

floor_service::environment log_config_provider::floor_environment()
{
    return {environment_.loop,
            environment_.quota,
            environment_.random,
            environment_.network,
            environment_.requests,
            *this,
            [this]() -> const member_table& { return environment_.members.table(); },
            [this]() -> const member_record& { return environment_.members.self(); },
            [this] { return environment_.members.joined(); },
            [this](const node_id& member, config_version version) {
                if (const auto* known = environment_.members.table().find(member)) {
                    distributor_.on_peer_version(known->update.record.peer, version);
                }
            },
            [this] { read_store(); }};
}

relay_role::environment log_config_provider::relay_environment()
{
    return {environment_.loop,
            environment_.random,
            environment_.store,
            environment_.worker,
            environment_.log,
            [this]() -> const member_record& { return environment_.members.self(); },
            [this]() -> const member_table& { return environment_.members.table(); },
            [this]() -> const commit_log& { return distributor_.log(); },
            [this](const log_tail& tail) { apply_tail(tail); }};
}

void log_config_provider::start()
{
    floors_.coordinator().start();
    relay_.start();
}

void log_config_provider::stop()
{
    floors_.coordinator().stop();
    relay_.stop();
}

void log_config_provider::add_committed(const commit& change)
{
    distributor_.apply_and_forward({std::nullopt, {change}, false});
}

void log_config_provider::describe(node_state_dump& state)
{
    state.version = floors_.coordinator().usable();
    state.known_version = distributor_.log().state().version();
    state.floor = floors_.coordinator().floor();
    state.floor_known = floors_.coordinator().floor_known();
    state.store_reachable = relay_.store_reachable();
    state.relay = relay_.holds_lease();
}

void log_config_provider::on_configuration(const mesh_state& state)
{
    environment_.accepted(state);
    accepted_.insert_or_assign(state.version(), state);
    std::erase_if(accepted_, [this, &state](const auto& item) {
        return item.first != state.version() &&
               item.first != floors_.coordinator().pending_version();
    });
    floors_.coordinator().on_log_version(state.version());
    relay_.on_advanced();
}

void log_config_provider::on_bad_commit(const failure& reason)
{
    relay_.on_bad_commit(reason);
}

void log_config_provider::on_floor_known(config_version floor)
{
    environment_.log.write(event_id::floor_known, fmt::format("version {}", floor.number));
}

void log_config_provider::on_version_usable(config_version version)
{
    const auto found = accepted_.find(version);
    if (found == accepted_.end()) {
        return;
    }
    environment_.usable(found->second);
    accepted_.erase(accepted_.begin(), found);
    environment_.log.write(event_id::configuration_in_force,
                           fmt::format("version {}", version.number));
}

void log_config_provider::on_floor_delayed(config_version version)
{
    environment_.log.write(event_id::floor_replication_delayed,
                           fmt::format("version {}", version.number));
}

void log_config_provider::on_floor_skipped(config_version version)
{
    environment_.log.write(event_id::floor_replication_skipped,
                           fmt::format("version {}", version.number));
}

void log_config_provider::read_store()
{
    environment_.worker.submit(
        [this, after = distributor_.log().state().version()](object_store& store) {
            auto tail = commit_reader{store}.read_after(after);
            environment_.loop.post([this, item = std::move(tail)] {
                relay_.on_store_health(static_cast<bool>(item));
                if (item) {
                    distributor_.apply_without_forwarding(item->batch);
                    floors_.coordinator().on_store_head(item->head);
                }
            });
        });
}

void log_config_provider::apply_tail(const log_tail& tail)
{
    distributor_.apply_and_forward(tail.batch);
    environment_.rewritten(tail, distributor_.log().commits());
    if (tail.fault) {
        relay_.on_bad_commit(*tail.fault);
    }
    floors_.coordinator().on_store_head(tail.head);
}

} // namespace savorywheel
