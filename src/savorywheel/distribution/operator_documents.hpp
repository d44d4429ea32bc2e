#ifndef SAVORYWHEEL_DISTRIBUTION_OPERATOR_DOCUMENTS_HPP
#define SAVORYWHEEL_DISTRIBUTION_OPERATOR_DOCUMENTS_HPP

#include <savorywheel/config/operator_configuration.hpp>
#include <savorywheel/config/rollout_order.hpp>
#include <savorywheel/core/config_version.hpp>

#include <cstdint>
#include <vector>

namespace savorywheel {

/**
 * @brief A node's copy of the documents that operators write to the object store.
 *
 * The documents are the configuration and the rollout orders.
 * Each document has its own revision and is merged last-writer-wins. The sum of the revisions grows
 * with every update, so two nodes with equal sums have the same documents.
 */
struct operator_documents {
    operator_configuration configuration;
    /** @brief Revision of the configuration object; zero if there is none. */
    std::uint64_t revision{};
    /** @brief Rollout orders, at most one per service. */
    std::vector<rollout_order> orders;

    /** @return Sum of the revisions of all documents. */
    [[nodiscard]] config_version revision_sum() const noexcept;

    /**
     * @brief Replaces the configuration if the candidate is newer.
     * @return False if the candidate is not newer.
     */
    bool merge(const operator_configuration& candidate, std::uint64_t candidate_revision);

    /**
     * @brief Adds an order, or replaces the order of its service if the candidate is newer.
     * @return False if the candidate is not newer.
     */
    bool merge(const rollout_order& candidate);

    /** @return The order for a service; nullptr if there is none. */
    [[nodiscard]] const rollout_order* find_order(const service_name& service) const noexcept;
};

} // namespace savorywheel

#endif
