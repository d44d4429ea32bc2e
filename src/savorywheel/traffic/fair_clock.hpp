#ifndef SAVORYWHEEL_TRAFFIC_FAIR_CLOCK_HPP
#define SAVORYWHEEL_TRAFFIC_FAIR_CLOCK_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/names.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace savorywheel {

/**
 * @brief Virtual time of weighted fair queueing among tenants, by expected work.
 *
 * A call starts at the virtual time, or at the virtual finish time of its tenant's previous call if
 * that is later; it finishes by its work divided by the tenant's weight after it. Calls run in the
 * order of their start tags. A tenant that sends more than its share advances only its own tags;
 * a burst of a few calls does not, so that tenants with few calls are not put off by their own.
 * The virtual time advances with the work that starts, divided by the weights of the tenants that
 * have had more than others; a tenant is forgotten once the virtual time has reached its tag.
 */
class fair_clock {
public:
    /** @return Start tag of the next call of the tenant. */
    [[nodiscard]] double start_tag(const tenant_name& tenant, std::uint32_t weight) const;

    /** @return True if a call with this start tag is beyond the share of its tenant. */
    [[nodiscard]] bool is_beyond_share(double start_tag) const noexcept
    {
        return start_tag > virtual_time_;
    }

    /** @brief Adds the work of a call that joins the queue. */
    void add(const tenant_name& tenant, duration work, std::uint32_t weight);

    /** @brief Takes back the work of a call that left the queue without running. */
    void take_back(const tenant_name& tenant, duration work, std::uint32_t weight);

    /** @brief Advances the virtual time by the work of a call that starts to run. */
    void advance(duration work);

    /** @return Number of tenants that have had more than others. */
    [[nodiscard]] std::size_t size() const noexcept { return tenants_.size(); }

private:
    struct entry {
        double finish_tag{};
        std::uint32_t weight{};
    };

    void set_finish_tag(const tenant_name& tenant, double finish_tag, std::uint32_t weight);
    void remove_past();

    std::map<tenant_name, entry> tenants_;
    std::set<std::pair<double, tenant_name>> by_finish_tag_;
    double weights_{};
    double virtual_time_{};
};

} // namespace savorywheel

#endif
