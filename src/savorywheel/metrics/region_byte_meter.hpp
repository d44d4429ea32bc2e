#ifndef SAVORYWHEEL_METRICS_REGION_BYTE_METER_HPP
#define SAVORYWHEEL_METRICS_REGION_BYTE_METER_HPP

#include <savorywheel/core/names.hpp>
#include <savorywheel/metrics/metric_registry.hpp>
#include <savorywheel/transport/byte_meter.hpp>

#include <array>
#include <functional>
#include <map>
#include <shared_mutex>
#include <string>

namespace savorywheel {

/**
 * @brief Counts messages and bytes by traffic class and by the peer's region; thread-safe.
 *
 * For each traffic class C and direction D (sent, received) it updates "messages_D_C", "bytes_D_C"
 * and "bytes_D_C_cross_region". "control_bytes_D" and "control_bytes_D_cross_region" are the sums
 * over all classes except calls. A peer of unknown region counts as one of the same region.
 */
class region_byte_meter final : public byte_meter {
public:
    /**
     * @param own_region Region of this node.
     * @param registry Owns the counters; must outlive the meter.
     */
    region_byte_meter(region_name own_region, metric_registry& registry);

    /** @brief Sets the region of an IP address. */
    void set_region(std::string_view address, const region_name& region);

    void on_sent(std::string_view address, traffic_class purpose, std::size_t bytes) override;
    void on_received(std::string_view address, traffic_class purpose, std::size_t bytes) override;

private:
    using counter = metric_registry::counter;

    struct class_counters {
        counter* messages{};
        counter* bytes{};
        counter* cross_region_bytes{};
    };

    struct direction_counters {
        std::array<class_counters, traffic_class_count> classes;
        counter* control_bytes{};
        counter* control_cross_region_bytes{};
    };

    static direction_counters make_counters(metric_registry& registry, std::string_view direction);
    void add(const direction_counters& counters, std::string_view address, traffic_class purpose,
             std::size_t bytes) const;
    [[nodiscard]] bool is_cross_region(std::string_view address) const;

    region_name own_region_;
    direction_counters sent_;
    direction_counters received_;
    mutable std::shared_mutex mutex_;
    std::map<std::string, region_name, std::less<>> regions_;
};

} // namespace savorywheel

#endif
