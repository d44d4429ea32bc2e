#include <savorywheel/routing/endpoint_health.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

constexpr unsigned failures_to_eject = 3;
constexpr unsigned max_doublings = 5;
constexpr std::chrono::seconds base_ejection_time{1};
constexpr std::chrono::milliseconds at_capacity_time{100};
/** Typical restart time of a node or backend server. */
constexpr std::chrono::milliseconds unreachable_time{500};
constexpr std::chrono::seconds draining_time{5};
constexpr std::chrono::seconds slow_start_window{20};
constexpr double min_weight = 0.1;
constexpr std::size_t max_records = 4096;
constexpr std::chrono::minutes record_lifetime{10};

} // namespace

void endpoint_health::record_success(const node_id& endpoint)
{
    const std::scoped_lock lock{mutex_};
    auto& item = find_or_insert(endpoint, clock_.now());
    item.failures = 0;
    if (item.ejections > 0) {
        --item.ejections;
    }
}

void endpoint_health::record_failure(const node_id& endpoint)
{
    const std::scoped_lock lock{mutex_};
    const auto now = clock_.now();
    auto& item = find_or_insert(endpoint, now);
    if (++item.failures < failures_to_eject) {
        return;
    }
    item.failures = failures_to_eject - 1;
    item.excluded_until =
        now + base_ejection_time * (1U << std::min(item.ejections, max_doublings));
    ++item.ejections;
}

void endpoint_health::record_unreachable(const node_id& endpoint)
{
    const std::scoped_lock lock{mutex_};
    const auto now = clock_.now();
    auto& item = find_or_insert(endpoint, now);
    item.excluded_until = std::max(item.excluded_until, now + unreachable_time);
}

void endpoint_health::record_overload(const node_id& endpoint)
{
    const std::scoped_lock lock{mutex_};
    const auto now = clock_.now();
    find_or_insert(endpoint, now).at_capacity_until = now + at_capacity_time;
}

void endpoint_health::record_draining(const node_id& endpoint)
{
    const std::scoped_lock lock{mutex_};
    const auto now = clock_.now();
    find_or_insert(endpoint, now).excluded_until = now + draining_time;
}

bool endpoint_health::is_excluded(const node_id& endpoint) const
{
    const std::scoped_lock lock{mutex_};
    const auto found = records_.find(endpoint);
    return found != records_.end() && clock_.now() < found->second.excluded_until;
}

void endpoint_health::read(std::span<endpoint_candidate> candidates) const
{
    const std::scoped_lock lock{mutex_};
    const auto now = clock_.now();
    for (auto& candidate : candidates) {
        const auto found = records_.find(candidate.endpoint->node);
        if (found == records_.end()) {
            candidate.standing = endpoint_standing::sound;
        }
        else if (now < found->second.excluded_until) {
            candidate.standing = endpoint_standing::excluded;
        }
        else {
            candidate.standing = now < found->second.at_capacity_until
                                     ? endpoint_standing::at_capacity
                                     : endpoint_standing::sound;
        }
    }
}

bool endpoint_health::at_capacity(const node_id& endpoint) const
{
    const std::scoped_lock lock{mutex_};
    const auto found = records_.find(endpoint);
    return found != records_.end() && clock_.now() < found->second.at_capacity_until;
}

double endpoint_health::slow_start_weight(const node_id& endpoint)
{
    const std::scoped_lock lock{mutex_};
    const auto now = clock_.now();
    const std::chrono::duration<double> age = now - find_or_insert(endpoint, now).first_seen;
    return std::clamp(age / std::chrono::duration<double>{slow_start_window}, min_weight, 1.0);
}

endpoint_health::record& endpoint_health::find_or_insert(const node_id& endpoint,
                                                         monotonic_time now)
{
    auto found = records_.find(endpoint);
    if (found == records_.end()) {
        if (records_.size() >= max_records) {
            erase_expired(now);
        }
        found = records_.emplace(endpoint, record{}).first;
        found->second.first_seen = now;
    }
    found->second.last_seen = now;
    return found->second;
}

void endpoint_health::erase_expired(monotonic_time now)
{
    std::erase_if(records_, [now](const auto& item) {
        return now - item.second.last_seen > record_lifetime;
    });
}

} // namespace savorywheel
