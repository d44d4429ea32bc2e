#include <savorywheel/encoding/codec.hpp>

#include <load/store_watcher.hpp>

#include <utility>

namespace savorywheel::load {

namespace {

constexpr std::chrono::milliseconds store_timeout{5000};

} // namespace

store_watcher::store_watcher(const network_endpoint& platform, duration delay,
                             random_source& random)
    : store_{client_, platform, store_timeout}, delayed_{store_, delay},
      watcher_{delayed_, random, [this](const log_tail& tail) { record(tail.batch.commits); },
               [](bool /*reachable*/) {}}
{
    watcher_.start({});
}

std::optional<calendar_time> store_watcher::received_at(config_version version) const
{
    const std::scoped_lock lock{mutex_};
    const auto found = received_.lower_bound(version);
    return found == received_.end() ? std::nullopt : std::optional{found->second};
}

void store_watcher::record(std::span<const commit> commits)
{
    const auto now = time_.calendar_now();
    const std::scoped_lock lock{mutex_};
    for (const auto& item : commits) {
        received_.emplace(item.version, now);
        bytes_ += encode_json(item).size();
    }
}

} // namespace savorywheel::load
