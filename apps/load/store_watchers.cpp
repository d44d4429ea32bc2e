#include <load/store_watchers.hpp>

#include <algorithm>
#include <thread>

namespace savorywheel::load {

store_watchers::store_watchers(const bench_mesh& mesh, duration region_delay)
{
    for (const auto& member : mesh.members()) {
        const auto delay = member.domain.region_index == 0 ? duration{} : region_delay;
        watchers_.push_back(std::make_unique<store_watcher>(mesh.platform(), delay, random_));
    }
}

store_watchers::~store_watchers()
{
    std::vector<std::thread> threads;
    threads.reserve(watchers_.size());
    for (auto& watcher : watchers_) {
        threads.emplace_back([&watcher] { watcher.reset(); });
    }
    for (auto& thread : threads) {
        thread.join();
    }
}

std::optional<calendar_time> store_watchers::converged_at(config_version version)
{
    calendar_time latest{};
    for (const auto& watcher : watchers_) {
        const auto at = watcher->received_at(version);
        if (!at) {
            return std::nullopt;
        }
        latest = std::max(latest, *at);
    }
    return latest;
}

std::uint64_t store_watchers::bytes() const
{
    std::uint64_t sum{};
    for (const auto& watcher : watchers_) {
        sum += watcher->bytes();
    }
    return sum;
}

} // namespace savorywheel::load
