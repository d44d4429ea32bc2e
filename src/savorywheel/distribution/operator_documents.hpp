#ifndef SAVORYWHEEL_DISTRIBUTION_OPERATOR_DOCUMENTS_HPP
#define SAVORYWHEEL_DISTRIBUTION_OPERATOR_DOCUMENTS_HPP

#include <savorywheel/config/operator_configuration.hpp>
#include <savorywheel/config/rollout_order.hpp>
#include <savorywheel/core/config_version.hpp>

#include <cstdint>
#include <vector>

namespace savorywheel {

/**
 * @brief What operators keep in the platform's service, as one node knows it.
 *
 * Each object has its own revision, and the newer one of two wins. The sum of the revisions grows
 * whenever an object does, so that two nodes with equal sums know the same.
 */
struct operator_documents {
    /** @brief Configuration. */
    operator_configuration configuration;
    /** @brief Revision of the configuration's object; zero if none is known. */
    std::uint64_t revision{};
    /** @brief Rollout orders, one a service. */
    std::vector<rollout_order> orders;

    /** @return Sum of the revisions. */
    [[nodiscard]] config_version revision_sum() const noexcept;

    /**
     * @brief Takes a configuration.
     * @return False if a newer one is known, or this one.
     */
    bool merge(const operator_configuration& candidate, std::uint64_t candidate_revision);

    /**
     * @brief Takes an order.
     * @return False if a newer one for its service is known, or this one.
     */
    bool merge(const rollout_order& candidate);

    /** @return The order for a service; nullptr if there is none. */
    [[nodiscard]] const rollout_order* find_order(const service_name& service) const noexcept;
};

} // namespace savorywheel

#endif
