#include <savorywheel/node/backend_registry.hpp>
#include <savorywheel/node/control_query.hpp>

#include <algorithm>
#include <future>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace savorywheel {

namespace {

/** A backend server waits for an acknowledgement for a second. */
constexpr std::chrono::milliseconds max_record_wait{500};

} // namespace

backend_registry::backend_registry(const node_settings& settings, environment env,
                                   backend_monitor::change_callback changed)
    : environment_{env}, monitor_{backend_monitor::environment{env.loop, env.log,
                                                               settings.backend_timeout,
                                                               make_backend_placement(settings)},
                                  std::move(changed)},
      departures_{
          env.keeps_departures
              ? std::make_unique<departure_store>(
                    settings.name, departure_store::environment{env.loop, env.worker, env.log})
              : nullptr}
{
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
            departures_->write(monitor_.departures(), [] {});
        },
        [this] { monitor_.release_unconfirmed(); });
}

void backend_registry::on_store_restored()
{
    if (departures_) {
        departures_->on_store_restored();
    }
}

void backend_registry::stop()
{
    monitor_.stop();
}

void backend_registry::announce(const backend_server& backend)
{
    environment_.loop.post([this, backend] { monitor_.announce(backend); });
}

outcome<bool> backend_registry::apply(const backend_announcement& announcement)
{
    return change([this, announcement] { return monitor_.accept(announcement); });
}

outcome<bool> backend_registry::deregister(std::string_view identity)
{
    return change([this, departed = std::string{identity}]() -> outcome<bool> {
        monitor_.deregister(departed);
        return true;
    });
}

outcome<bool> backend_registry::change(std::function<outcome<bool>()> action)
{
    const auto recorded = std::make_shared<std::promise<void>>();
    const auto applied = query_control<outcome<bool>>(
        environment_.loop, [this, recorded, action = std::move(action)] {
            const auto known = monitor_.departures();
            const std::vector before(known.begin(), known.end());
            auto result = action();
            if (departures_ && !std::ranges::equal(before, monitor_.departures())) {
                departures_->write(monitor_.departures(), [recorded] { recorded->set_value(); });
            }
            else {
                recorded->set_value();
            }
            return result;
        });
    if (!applied) {
        return applied.reason();
    }
    // A departure is in force at once; without the store it only may not outlast this process.
    static_cast<void>(recorded->get_future().wait_for(max_record_wait));
    return *applied;
}

} // namespace savorywheel
