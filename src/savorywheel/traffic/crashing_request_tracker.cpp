#include <savorywheel/traffic/crashing_request_tracker.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

constexpr std::size_t crashes_to_block = 2;
constexpr std::size_t crashes_to_block_answered = 3;
/** Responses to calls from before the latest crashes may remove the earlier ones. */
constexpr std::size_t max_crashes_kept = 4;
constexpr std::size_t max_tracked_requests = 1024;
constexpr std::chrono::minutes retention{10};

} // namespace

void crashing_request_tracker::add(const crash_report& report, monotonic_time now)
{
    evict_old(now);
    if (report.age >= retention) {
        return;
    }
    const auto at = now - std::max(report.age, std::chrono::milliseconds::zero());
    auto& entry = requests_[report.digest];
    entry.crashes.emplace(std::pair{report.node, report.crash}, crash{at, report.answered_before});
    if (entry.crashes.size() > max_crashes_kept) {
        entry.crashes.erase(std::ranges::min_element(
            entry.crashes, {}, [](const auto& known) { return known.second.at; }));
    }
    entry.service = report.service;
    entry.last = std::max(entry.last, at);
}

void crashing_request_tracker::clear(request_digest digest, monotonic_time started)
{
    const auto found = requests_.find(digest);
    if (found == requests_.end()) {
        return;
    }
    auto& crashes = found->second.crashes;
    std::erase_if(crashes, [started](const auto& known) { return known.second.at <= started; });
    if (crashes.empty()) {
        requests_.erase(found);
    }
}

std::vector<crash_report> crashing_request_tracker::reports_of(const service_name& service,
                                                               monotonic_time now) const
{
    std::vector<crash_report> reports;
    for (const auto& [digest, entry] : requests_) {
        if (entry.service != service || now - entry.last >= retention) {
            continue;
        }
        for (const auto& [name, known] : entry.crashes) {
            reports.push_back(
                {service, name.first, name.second, digest,
                 std::chrono::duration_cast<std::chrono::milliseconds>(now - known.at),
                 known.answered_before});
        }
    }
    return reports;
}

bool crashing_request_tracker::is_blocked(request_digest digest, monotonic_time now) const
{
    const auto found = requests_.find(digest);
    if (found == requests_.end() || now - found->second.last >= retention) {
        return false;
    }
    const auto& crashes = found->second.crashes;
    const bool answered = std::ranges::any_of(
        crashes, [](const auto& known) { return known.second.answered_before; });
    return crashes.size() >= (answered ? crashes_to_block_answered : crashes_to_block);
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
