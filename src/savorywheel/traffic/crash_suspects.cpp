#include <savorywheel/traffic/crash_suspects.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

constexpr std::size_t crashes_to_block = 2;
constexpr std::size_t max_suspects = 1024;
constexpr std::chrono::minutes memory{10};

} // namespace

void crash_suspects::add(const crash_report& report, monotonic_time now)
{
    make_room(now);
    auto& entry = suspects_[report.digest];
    if (entry.crashes.size() < crashes_to_block) {
        entry.crashes.emplace(report.node, report.crash);
    }
    entry.last = now;
}

bool crash_suspects::blocked(request_digest digest, monotonic_time now) const
{
    const auto found = suspects_.find(digest);
    return found != suspects_.end() && found->second.crashes.size() >= crashes_to_block &&
           now - found->second.last < memory;
}

void crash_suspects::make_room(monotonic_time now)
{
    std::erase_if(suspects_, [now](const auto& item) { return now - item.second.last >= memory; });
    if (suspects_.size() >= max_suspects) {
        suspects_.erase(std::ranges::min_element(
            suspects_, {}, [](const auto& item) { return item.second.last; }));
    }
}

} // namespace savorywheel
