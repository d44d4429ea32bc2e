#include <savorywheel/metrics/region_byte_meter.hpp>

#include <fmt/format.h>

#include <mutex>
#include <utility>

namespace savorywheel {

region_byte_meter::region_byte_meter(region_name own_region, metric_registry& registry)
    : own_region_{std::move(own_region)}, sent_{make_counters(registry, "sent")},
      received_{make_counters(registry, "received")}
{
}

void region_byte_meter::set_region(std::string_view address, const region_name& region)
{
    const std::scoped_lock lock{mutex_};
    regions_.insert_or_assign(std::string{address}, region);
}

void region_byte_meter::on_sent(std::string_view address, traffic_class purpose, std::size_t bytes)
{
    add(sent_, address, purpose, bytes);
}

void region_byte_meter::on_received(std::string_view address, traffic_class purpose,
                                    std::size_t bytes)
{
    add(received_, address, purpose, bytes);
}

region_byte_meter::direction_counters region_byte_meter::make_counters(metric_registry& registry,
                                                                       std::string_view direction)
{
    direction_counters counters;
    for (std::size_t i = 0; i < traffic_class_count; ++i) {
        const auto purpose = to_string(static_cast<traffic_class>(i));
        auto& item = counters.classes.at(i);
        item.messages = &registry.count(fmt::format("messages_{}_{}", direction, purpose));
        item.bytes = &registry.count(fmt::format("bytes_{}_{}", direction, purpose));
        item.cross_region_bytes =
            &registry.count(fmt::format("bytes_{}_{}_cross_region", direction, purpose));
    }
    counters.control_bytes = &registry.count(fmt::format("control_bytes_{}", direction));
    counters.control_cross_region_bytes =
        &registry.count(fmt::format("control_bytes_{}_cross_region", direction));
    return counters;
}

void region_byte_meter::add(const direction_counters& counters, std::string_view address,
                            traffic_class purpose, std::size_t bytes) const
{
    const bool cross_region = is_cross_region(address);
    const auto& item = counters.classes.at(static_cast<std::size_t>(purpose));
    *item.messages += 1;
    *item.bytes += bytes;
    if (cross_region) {
        *item.cross_region_bytes += bytes;
    }
    if (purpose == traffic_class::call) {
        return;
    }
    *counters.control_bytes += bytes;
    if (cross_region) {
        *counters.control_cross_region_bytes += bytes;
    }
}

bool region_byte_meter::is_cross_region(std::string_view address) const
{
    const std::shared_lock lock{mutex_};
    const auto found = regions_.find(address);
    return found != regions_.end() && found->second != own_region_;
}

} // namespace savorywheel
