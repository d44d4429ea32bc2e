#ifndef SAVORYWHEEL_NODE_HEAD_TRACKER_HPP
#define SAVORYWHEEL_NODE_HEAD_TRACKER_HPP

#include <savorywheel/admin/domain_status.hpp>
#include <savorywheel/membership/member_update.hpp>

#include <map>
#include <span>
#include <vector>

namespace savorywheel {

/** @brief Remembers which configuration version each peer told last; for the control thread. */
class head_tracker {
public:
    /** @brief Records what a peer told. */
    void record(const network_endpoint& peer, config_version head);

    /** @brief Forgets a peer that failed or left. */
    void forget(const network_endpoint& peer);

    /** @return The versions of the members that are not dead, by failure domain. */
    [[nodiscard]] std::vector<domain_status>
    summarize(std::span<const member_update> members) const;

private:
    void add(domain_status& status, const network_endpoint& peer) const;

    std::map<network_endpoint, config_version> heads_;
};

} // namespace savorywheel

#endif
