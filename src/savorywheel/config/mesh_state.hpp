#ifndef SAVORYWHEEL_CONFIG_MESH_STATE_HPP
#define SAVORYWHEEL_CONFIG_MESH_STATE_HPP

#include <savorywheel/config/commit.hpp>
#include <savorywheel/config/operator_configuration.hpp>
#include <savorywheel/core/outcome.hpp>

#include <map>
#include <memory>
#include <span>
#include <vector>

namespace savorywheel {

/**
 * @brief Accepted configuration of the mesh at one version.
 *
 * Copies share the states of unchanged services.
 */
class mesh_state {
public:
    /** @brief Service states by service name. */
    using service_map = std::map<service_name, std::shared_ptr<const service_state>>;

    /** @brief Creates the empty state that precedes the first commit. */
    mesh_state() = default;

    /** @brief Creates a state from the contents of a checkpoint. */
    mesh_state(config_version version, std::vector<domain_spec> domains,
               std::span<const service_state> services, std::vector<tenant_spec> tenants = {});

    /**
     * @brief Applies a commit atomically.
     * @param change Commit whose version follows the version of this state.
     * @return The new state; conflict if the commit is not the next one; invalid_argument if it
     * removes an unknown service or leaves a dependency on a service that does not exist.
     */
    [[nodiscard]] outcome<mesh_state> apply(const commit& change) const;

    /**
     * @brief Creates a state from a configuration stored in a single object.
     * @param source Configuration; its services have no version weights, so that all running
     * versions receive traffic.
     * @param version Version of the new state.
     */
    mesh_state(const operator_configuration& source, config_version version);

    /** @brief Replaces the state of the service with the same name, or adds it. */
    void replace(service_state service);

    /** @return Version of the last commit. */
    [[nodiscard]] config_version version() const noexcept { return version_; }

    /** @return Version that operators gave the configuration; zero if it is not a single object. */
    [[nodiscard]] config_version operator_version() const noexcept { return operator_version_; }

    [[nodiscard]] const service_map& services() const noexcept { return services_; }

    [[nodiscard]] std::span<const domain_spec> domains() const noexcept { return domains_; }

    /** @return Virtual hosts with their routes; nullptr if each service is its own host. */
    [[nodiscard]] const std::shared_ptr<const std::vector<virtual_host>>& hosts() const noexcept
    {
        return hosts_;
    }

    /** @return What operators allow callers. */
    [[nodiscard]] const caller_limits& limits() const noexcept { return limits_; }

    /** @return Tenants; nullptr if there are none. */
    [[nodiscard]] const std::shared_ptr<const std::vector<tenant_spec>>& tenants() const noexcept
    {
        return tenants_;
    }

    /** @return State of the service; nullptr if it does not exist. */
    [[nodiscard]] std::shared_ptr<const service_state> find(const service_name& name) const;

    /** @brief Compares by value: shared pointers are equal if their targets are. */
    friend bool operator==(const mesh_state& left, const mesh_state& right);

private:
    [[nodiscard]] outcome<bool> check_references() const;
    void set_tenants(std::vector<tenant_spec> tenants);

    config_version version_;
    config_version operator_version_;
    std::vector<domain_spec> domains_;
    service_map services_;
    std::shared_ptr<const std::vector<virtual_host>> hosts_;
    caller_limits limits_;
    std::shared_ptr<const std::vector<tenant_spec>> tenants_;
};

} // namespace savorywheel

#endif
