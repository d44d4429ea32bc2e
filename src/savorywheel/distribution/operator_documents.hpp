#ifndef SAVORYWHEEL_DISTRIBUTION_OPERATOR_DOCUMENTS_HPP
#define SAVORYWHEEL_DISTRIBUTION_OPERATOR_DOCUMENTS_HPP

#include <savorywheel/config/operator_configuration.hpp>
#include <savorywheel/config/rollout_order.hpp>
#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/configuration_head.hpp>
#include <savorywheel/distribution/document_request.hpp>

#include <cstdint>
#include <set>
#include <vector>

namespace savorywheel {

/**
 * @brief A node's copy of the documents that operators write to the object store.
 *
 * The documents are the configuration and the rollout orders.
 * Each document has its own revision and is merged last-writer-wins. Nodes with different documents
 * have different heads; each pair of them becomes equal once the nodes that lack documents of the
 * other have fetched them.
 *
 * The store may be restored from a backup, in a later era of its revisions. Then the newest
 * revision may belong to an older document. A node keeps the newer version of the configuration,
 * and the record of a rollout that had got further, under the newest revision that any node has
 * seen. Revision sums therefore never decrease, and documents are merged in any order with the
 * same result. In era 0, heads are computed from the revisions alone.
 */
struct operator_documents {
    operator_configuration configuration;
    /** @brief Revision of the configuration object; zero if there is none. */
    std::uint64_t revision{};
    /** @brief Rollout orders, at most one per service. */
    std::vector<rollout_order> orders;
    /**
     * @brief Orders with records that another order from a restored store has replaced.
     *
     * The replacing order may be from the backup, and the replaced one is then written again,
     * without its record. Only known to this node; not sent to peers.
     */
    std::vector<rollout_order> replaced;
    /** @brief True if an older configuration has the newest revision. */
    bool unwritten_configuration{};
    /** @brief Services whose record at the newest revision is behind the one in `orders`. */
    std::set<service_name> unwritten_records;

    /** @return Sum of the revisions of all documents. */
    [[nodiscard]] config_version revision_sum() const noexcept;

    /** @return Summary of the documents; independent of the order in which they arrived. */
    [[nodiscard]] configuration_head head() const;

    /**
     * @brief Determines whether a peer may have documents that are newer than these.
     *
     * Of two nodes with different documents, one lacks some of the other's at least. Merging them
     * raises the sum, so an exchange between nodes ends when all documents are equal.
     * @param remote Head of the peer's documents.
     */
    [[nodiscard]] bool lacks_any_of(const configuration_head& remote) const;

    /** @return True if the candidate has a newer version, or a newer revision of the same one. */
    [[nodiscard]] bool is_newer(config_version candidate,
                                std::uint64_t candidate_revision) const noexcept;

    /**
     * @brief Replaces the configuration if the candidate has a newer version, or a newer revision
     * of the same version.
     * @return False if the candidate is not newer. True as well if only the revision is newer since
     * the store was restored; the configuration is kept then.
     */
    bool merge(const operator_configuration& candidate, std::uint64_t candidate_revision);

    /**
     * @brief Adds an order, or replaces the order of its service if the candidate is newer.
     *
     * The record is kept if it had got further than that of a candidate from a restored store.
     * @return False if the candidate is not newer.
     */
    bool merge(const rollout_order& candidate);

    /**
     * @brief Merges a peer's documents.
     * @return False if none of them is newer.
     */
    bool merge(const operator_documents& candidates);

    /** @return Request for the documents of a peer. */
    [[nodiscard]] document_request request() const noexcept;

    /** @return All orders, and the configuration if it is newer than that of the requester. */
    [[nodiscard]] operator_documents answer(const document_request& request) const;

    /** @return The order for a service; nullptr if there is none. */
    [[nodiscard]] const rollout_order* find_order(const service_name& service) const noexcept;

private:
    void replace(rollout_order& known, const rollout_order& candidate);
    [[nodiscard]] bool merge_record(rollout_order& known, const rollout_order& candidate);
};

} // namespace savorywheel

#endif
