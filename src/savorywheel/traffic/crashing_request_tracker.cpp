#include <savorywheel/traffic/crashing_request_tracker.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

constexpr std::size_t crashes_to_block = 2;
constexpr std::size_t max_tracked_requests = 1024;
constexpr std::chrono::minutes retention{10};

} // namespace

void crashing_request_tracker::add(const crash_report& report, monotonic_time now)
{
    evict_old(now);
    auto& entry = requests_[report.digest];
    if (entry.crashes.size() < crashes_to_block) {
        entry.crashes.emplace(report.node, report.crash);
    }
    entry.last = now;
}

bool crashing_request_tracker::is_blocked(request_digest digest, monotonic_time now) const
{
    const auto found = requests_.find(digest);
    return found != requests_.end() && found->second.crashes.size() >= crashes_to_block &&
           now - found->second.last < retention;
}

void crashing_request_tracker::evict_old(monotonic_time now)
{
    std::erase_if(requests_,
                  [now](const auto& item) { return now - item.second.last >= retention; });
    if (requests_.size() >= max_tracked_requests) {
        requests_.erase(std::ranges::min_element(
            requests_, {}, [](const auto& item) { return item.second.last; }));
    }
}

} // namespace savorywheel
