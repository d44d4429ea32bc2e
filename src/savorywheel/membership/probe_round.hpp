#ifndef SAVORYWHEEL_MEMBERSHIP_PROBE_ROUND_HPP
#define SAVORYWHEEL_MEMBERSHIP_PROBE_ROUND_HPP

#include <savorywheel/core/random_source.hpp>
#include <savorywheel/membership/member_table.hpp>

#include <optional>
#include <vector>

namespace savorywheel {

/**
 * @brief Selects probe targets in randomized rounds that contain each member once.
 *
 * The own region and the other regions have separate rounds. Most probes stay in the own region to
 * limit the traffic between regions.
 */
class probe_round {
public:
    /**
     * @param self This node; never selected.
     * @param region Region of this node.
     * @param random Random numbers; must outlive this object.
     */
    probe_round(node_id self, region_name region, random_source& random);

    /** @return The next member to probe; nothing if there is no other live member. */
    [[nodiscard]] std::optional<member_record> next(const member_table& members);

private:
    [[nodiscard]] std::optional<member_record> next_of(bool own_region,
                                                       const member_table& members);
    void refill(bool own_region, const member_table& members);

    node_id self_;
    region_name region_;
    random_source& random_;
    std::vector<node_id> own_region_queue_;
    std::vector<node_id> other_regions_queue_;
};

} // namespace savorywheel

#endif
