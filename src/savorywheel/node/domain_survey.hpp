#ifndef SAVORYWHEEL_NODE_DOMAIN_SURVEY_HPP
#define SAVORYWHEEL_NODE_DOMAIN_SURVEY_HPP

#include <savorywheel/admin/domain_status.hpp>
#include <savorywheel/membership/member_update.hpp>

#include <cstddef>
#include <map>
#include <span>
#include <vector>

namespace savorywheel {

/** @brief Number of nodes queried for their version in each failure domain. */
inline constexpr std::size_t surveyed_nodes_per_domain = 3;

/** @brief Selects nodes to query for their version in force and aggregates the responses. */
class domain_survey {
public:
    /** @param members Member records; must outlive the survey. */
    explicit domain_survey(std::span<const member_update> members) noexcept : members_{members} {}

    /** @return Peer endpoints of up to surveyed_nodes_per_domain alive members per domain. */
    [[nodiscard]] std::vector<network_endpoint> sample() const;

    /**
     * @brief Aggregates versions by failure domain.
     * @param versions Version in force of each responding node, by peer endpoint.
     */
    [[nodiscard]] std::vector<domain_status>
    summarize(const std::map<network_endpoint, config_version>& versions) const;

private:
    std::span<const member_update> members_;
};

} // namespace savorywheel

#endif
