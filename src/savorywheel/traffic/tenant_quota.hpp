#ifndef SAVORYWHEEL_TRAFFIC_TENANT_QUOTA_HPP
#define SAVORYWHEEL_TRAFFIC_TENANT_QUOTA_HPP

#include <savorywheel/routing/tenant_entry.hpp>
#include <savorywheel/traffic/quota_decision.hpp>

#include <functional>
#include <optional>

namespace savorywheel {

/**
 * @brief Quotas of tenants over all nodes.
 * @warning Call all members on the traffic thread.
 */
class tenant_quota {
public:
    /** @brief Receives the decision on the traffic thread, possibly before acquire() returns. */
    using callback = std::function<void(const quota_decision&)>;

    tenant_quota() = default;
    tenant_quota(const tenant_quota&) = delete;
    tenant_quota& operator=(const tenant_quota&) = delete;
    tenant_quota(tenant_quota&&) = delete;
    tenant_quota& operator=(tenant_quota&&) = delete;
    virtual ~tenant_quota() = default;

    /**
     * @brief Takes a token for a request if one is at hand.
     * @return The token; std::nullopt if there is none.
     */
    [[nodiscard]] virtual std::optional<quota_token> try_acquire(const tenant_entry& tenant) = 0;

    /**
     * @brief Decides about a request for which try_acquire() had no token; may wait a short time.
     * @param tenant Tenant of the request; need not outlive the call.
     * @param decided Receives the decision exactly once.
     */
    virtual void acquire(const tenant_entry& tenant, callback decided) = 0;

    /** @brief Returns the token of a request that was not run and will not be run. */
    virtual void give_back(const tenant_entry& tenant, const quota_token& token) = 0;
};

} // namespace savorywheel

#endif
