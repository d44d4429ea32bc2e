#ifndef SAVORYWHEEL_TRAFFIC_FAIR_CLOCK_HPP
#define SAVORYWHEEL_TRAFFIC_FAIR_CLOCK_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/names.hpp>

#include <map>

namespace savorywheel {

/**
 * @brief Start-time fair queueing among tenants, by expected work.
 *
 * A call starts at the virtual time, or at the virtual finish time of its tenant's previous call if
 * that is later; it finishes by its work divided by the tenant's weight after it. Calls run in the
 * order of their start tags. A tenant that sends more than its share advances only its own tags.
 */
class fair_clock {
public:
    /** @return Start tag of the next call of the tenant. */
    [[nodiscard]] double start_tag(const tenant_name& tenant) const;

    /**
     * @brief Adds the work of a call that joins the queue.
     * @return Its start tag.
     */
    double add(const tenant_name& tenant, duration work, std::uint32_t weight);

    /** @brief Takes back the last added call of the tenant, which left the queue without running.
     */
    void take_back(const tenant_name& tenant, double start_tag, duration work,
                   std::uint32_t weight);

    /** @brief Advances the virtual time to the tag of a call that starts to run. */
    void advance(double start_tag);

private:
    /** Virtual finish time of the last call by tenant; absent if it is in the past. */
    std::map<tenant_name, double> finish_tags_;
    double virtual_time_{};
};

} // namespace savorywheel

#endif
