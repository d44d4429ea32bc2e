#ifndef SAVORYWHEEL_QUOTA_QUOTA_COORDINATOR_HPP
#define SAVORYWHEEL_QUOTA_QUOTA_COORDINATOR_HPP

#include <savorywheel/membership/member_table.hpp>
#include <savorywheel/quota/quota_metrics.hpp>
#include <savorywheel/quota/quota_settings.hpp>
#include <savorywheel/quota/shard_coordinator.hpp>
#include <savorywheel/routing/routing_table_holder.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace savorywheel {

/**
 * @brief Coordinates the shards for which this node holds the lease.
 *
 * Competes only while the configuration in force limits the rate of a tenant.
 * @warning Control thread only.
 */
class quota_coordinator {
public:
    /** @brief Dependencies; all must outlive the coordinator. */
    struct environment {
        shard_coordinator::environment shards;
        /** @brief Returns the record of this node. */
        std::function<const member_record&()> self;
        /** @brief Returns the members, including this node. */
        std::function<const member_table&()> members;
        /** @brief Source of the limits of tenants. */
        const routing_table_holder& tables;
        quota_metrics& metrics;
    };

    /** @param self Record that this node writes into leases. */
    quota_coordinator(const quota_settings& settings, const lease_record& self, environment env);

    /** @brief Begins to compete for leases. */
    void start();

    /** @brief Releases all leases. */
    void stop();

    /** @return The answer to a request; std::nullopt if it gets none. */
    [[nodiscard]] std::optional<quota_grant> answer(const quota_request& request);

private:
    void maintain();
    /** Reads the tenants again after a change; returns whether one of them has a rate. */
    bool refresh_tenants();
    [[nodiscard]] const tenant_limits& limits();

    quota_settings settings_;
    environment environment_;
    std::vector<std::unique_ptr<shard_coordinator>> shards_;
    std::shared_ptr<const tenant_table> tenants_;
    bool has_limits_{};
    std::optional<tenant_limits> limits_;
    bool running_{};
    subscription timer_;
};

} // namespace savorywheel

#endif
