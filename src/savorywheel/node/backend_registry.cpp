#include <savorywheel/node/backend_registry.hpp>
#include <savorywheel/node/control_query.hpp>

#include <future>
#include <span>
#include <string>
#include <utility>

namespace savorywheel {

namespace {

/** Within the second for which a backend server waits for an acknowledgement. */
constexpr std::chrono::milliseconds max_record_wait{800};
/** A write to the store takes a few milliseconds; other nodes need the rest of the wait. */
constexpr std::chrono::milliseconds usual_write_time{150};

} // namespace

backend_registry::backend_registry(const node_settings& settings, environment env,
                                   backend_monitor::change_callback changed)
    : environment_{std::move(env)}, loop_{environment_.peers.loop},
      monitor_{backend_monitor::environment{loop_, environment_.peers.log, settings.backend_timeout,
                                            make_backend_placement(settings)},
               std::move(changed)}
{
    if (environment_.keeps_departures) {
        departures_ = std::make_unique<departure_store>(
            settings.name,
            departure_store::environment{loop_, environment_.worker, environment_.peers.log});
        copies_ = std::make_unique<departure_copies>(
            environment_.peers, [this](std::span<const backend_departure> departures) {
                monitor_.add_departures(departures);
                write_departures();
            });
    }
}

void backend_registry::start()
{
    monitor_.start();
    if (!departures_) {
        return;
    }
    monitor_.hold_announcements();
    departures_->start(
        [this](std::span<const backend_departure> departures) {
            monitor_.restore(departures);
            write_departures();
        },
        [this] { monitor_.release_unconfirmed(); });
}

void backend_registry::on_store_restored()
{
    if (departures_) {
        departures_->on_store_restored();
    }
}

void backend_registry::on_member_changed(const member_update& update)
{
    if (copies_) {
        copies_->on_member_changed(update);
    }
}

void backend_registry::stop()
{
    monitor_.stop();
}

void backend_registry::announce(const backend_server& backend)
{
    loop_.post([this, backend] { monitor_.announce(backend); });
}

outcome<bool> backend_registry::apply(const backend_announcement& announcement)
{
    return announcement.backend.state == server_state::draining
               ? depart([this, announcement] { return accept_departure(announcement); })
               : run([this, announcement] { return monitor_.accept(announcement); });
}

outcome<bool> backend_registry::deregister(std::string_view identity)
{
    return depart([this, departed = std::string{identity}]() -> outcome<bool> {
        monitor_.deregister(departed);
        return true;
    });
}

outcome<bool> backend_registry::accept_departure(const backend_announcement& announcement)
{
    auto result = monitor_.accept(announcement);
    if (monitor_.holds_announcements()) {
        return failure{failure_code::unavailable, "the announcement is not applied yet"};
    }
    return result;
}

outcome<bool> backend_registry::depart(const change& action)
{
    const auto recorded = std::make_shared<std::promise<void>>();
    auto result = run([this, recorded, action] {
        auto applied = action();
        record_departures([recorded] { recorded->set_value(); });
        return applied;
    });
    if (result && recorded->get_future().wait_for(max_record_wait) != std::future_status::ready) {
        return failure{failure_code::unavailable,
                       "the departure does not outlast this process yet"};
    }
    return result;
}

outcome<bool> backend_registry::run(const change& action)
{
    const auto result = query_control<outcome<bool>>(loop_, action);
    return result ? *result : result.reason();
}

void backend_registry::record_departures(const std::function<void()>& recorded)
{
    if (!departures_) {
        recorded();
        return;
    }
    const auto is_recorded = std::make_shared<bool>(false);
    const auto record_once = [is_recorded, recorded] {
        if (!std::exchange(*is_recorded, true)) {
            recorded();
        }
    };
    departures_->write(monitor_.departures(), record_once);
    if (!*is_recorded) {
        copy_timer_ = loop_.timers().after(usual_write_time, [this, is_recorded, record_once] {
            if (!*is_recorded) {
                copies_->copy(monitor_.departures(), record_once);
            }
        });
    }
}

void backend_registry::write_departures()
{
    departures_->write(monitor_.departures(), [] {});
}

} // namespace savorywheel
