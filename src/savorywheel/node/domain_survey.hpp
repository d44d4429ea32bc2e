#ifndef SAVORYWHEEL_NODE_DOMAIN_SURVEY_HPP
#define SAVORYWHEEL_NODE_DOMAIN_SURVEY_HPP

#include <savorywheel/admin/domain_status.hpp>
#include <savorywheel/membership/member_update.hpp>

#include <cstddef>
#include <map>
#include <span>
#include <vector>

namespace savorywheel {

/** @brief Nodes of each failure domain that are asked for their version. */
inline constexpr std::size_t surveyed_nodes_per_domain = 3;

/** @brief Chooses whom to ask for the versions in force, and sums the answers up. */
class domain_survey {
public:
    /** @param members Members; must outlive the survey. */
    explicit domain_survey(std::span<const member_update> members) noexcept : members_{members} {}

    /** @return Peer endpoints of some live members of each failure domain. */
    [[nodiscard]] std::vector<network_endpoint> sample() const;

    /**
     * @brief Sums up by failure domain.
     * @param heads Versions by the peer endpoint of their node.
     */
    [[nodiscard]] std::vector<domain_status>
    summarize(const std::map<network_endpoint, config_version>& heads) const;

private:
    std::span<const member_update> members_;
};

} // namespace savorywheel

#endif
