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
 * @brief The accepted configuration at one version; values share what did not change.
 */
class mesh_state {
public:
    /** @brief Services by name. */
    using service_map = std::map<service_name, std::shared_ptr<const service_state>>;

    /** @brief Creates the state before the first commit. */
    mesh_state() = default;

    /**
     * @brief Creates a state from a checkpoint.
     * @param version Version of the checkpoint.
     * @param domains Failure domains.
     * @param services Services.
     */
    mesh_state(config_version version, std::vector<domain_spec> domains,
               std::span<const service_state> services);

    /**
     * @brief Applies the next commit, whole or not at all.
     * @param change The commit.
     * @return The new state; conflict if the commit is not the next one; invalid_argument if it
     * removes an unknown service or leaves a route to a service that does not exist.
     */
    [[nodiscard]] outcome<mesh_state> apply(const commit& change) const;

    /**
     * @brief Creates the state of a configuration that lies in one object.
     * @param source The configuration; its services have no shares of versions, so that every
     * version that runs serves.
     * @param version Version of the state.
     */
    mesh_state(const operator_configuration& source, config_version version);

    /** @brief Replaces a service, which keeps its name. */
    void replace(service_state service);

    /** @return Version of the last commit. */
    [[nodiscard]] config_version version() const noexcept { return version_; }

    /** @return Services by name. */
    [[nodiscard]] const service_map& services() const noexcept { return services_; }

    /** @return Failure domains. */
    [[nodiscard]] std::span<const domain_spec> domains() const noexcept { return domains_; }

    /** @return Hosts with their routes; nullptr if each service is a host of its own. */
    [[nodiscard]] const std::shared_ptr<const std::vector<virtual_host>>& hosts() const noexcept
    {
        return hosts_;
    }

    /** @return The service, or nothing. */
    [[nodiscard]] std::shared_ptr<const service_state> find(const service_name& name) const;

    /** @brief Compares what the states say, not which memory they share. */
    friend bool operator==(const mesh_state& left, const mesh_state& right);

private:
    [[nodiscard]] outcome<bool> check_references() const;

    config_version version_;
    std::vector<domain_spec> domains_;
    service_map services_;
    std::shared_ptr<const std::vector<virtual_host>> hosts_;
};

} // namespace savorywheel

#endif
