#include <savorywheel/routing/endpoint_health.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

constexpr unsigned failures_to_eject = 3;
constexpr unsigned max_doublings = 5;
constexpr std::chrono::seconds first_ejection{1};
constexpr std::chrono::milliseconds full_time{100};
/** Typical restart time of a node or backend server. */
constexpr std::chrono::milliseconds unreachable_time{500};
constexpr std::chrono::seconds leaving_time{5};
constexpr std::chrono::seconds slow_start_time{20};
constexpr double least_weight = 0.1;
constexpr std::size_t max_records = 4096;
constexpr std::chrono::minutes record_lifetime{10};

} // namespace

void endpoint_health::answered(const node_id& endpoint)
{
    const std::scoped_lock lock{mutex_};
    auto& item = entry(endpoint, clock_.now());
    item.failures = 0;
    if (item.ejections > 0) {
        --item.ejections;
    }
}

void endpoint_health::failed(const node_id& endpoint)
{
    const std::scoped_lock lock{mutex_};
    const auto now = clock_.now();
    auto& item = entry(endpoint, now);
    if (++item.failures < failures_to_eject) {
        return;
    }
    item.failures = failures_to_eject - 1;
    item.avoided_until = now + first_ejection * (1U << std::min(item.ejections, max_doublings));
    ++item.ejections;
}

void endpoint_health::unreachable(const node_id& endpoint)
{
    const std::scoped_lock lock{mutex_};
    const auto now = clock_.now();
    auto& item = entry(endpoint, now);
    item.avoided_until = std::max(item.avoided_until, now + unreachable_time);
}

void endpoint_health::overloaded(const node_id& endpoint)
{
    const std::scoped_lock lock{mutex_};
    const auto now = clock_.now();
    entry(endpoint, now).full_until = now + full_time;
}

void endpoint_health::leaving(const node_id& endpoint)
{
    const std::scoped_lock lock{mutex_};
    const auto now = clock_.now();
    entry(endpoint, now).avoided_until = now + leaving_time;
}

bool endpoint_health::avoided(const node_id& endpoint) const
{
    const std::scoped_lock lock{mutex_};
    const auto found = records_.find(endpoint);
    return found != records_.end() && clock_.now() < found->second.avoided_until;
}

bool endpoint_health::full(const node_id& endpoint) const
{
    const std::scoped_lock lock{mutex_};
    const auto found = records_.find(endpoint);
    return found != records_.end() && clock_.now() < found->second.full_until;
}

double endpoint_health::weight(const node_id& endpoint)
{
    const std::scoped_lock lock{mutex_};
    const auto now = clock_.now();
    const std::chrono::duration<double> age = now - entry(endpoint, now).first_seen;
    return std::clamp(age / std::chrono::duration<double>{slow_start_time}, least_weight, 1.0);
}

endpoint_health::record& endpoint_health::entry(const node_id& endpoint, monotonic_time now)
{
    auto found = records_.find(endpoint);
    if (found == records_.end()) {
        if (records_.size() >= max_records) {
            forget_old(now);
        }
        found = records_.emplace(endpoint, record{}).first;
        found->second.first_seen = now;
    }
    found->second.last_seen = now;
    return found->second;
}

void endpoint_health::forget_old(monotonic_time now)
{
    std::erase_if(records_, [now](const auto& item) {
        return now - item.second.last_seen > record_lifetime;
    });
}

} // namespace savorywheel
