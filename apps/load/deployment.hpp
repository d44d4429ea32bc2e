#ifndef SAVORYWHEEL_APPS_LOAD_DEPLOYMENT_HPP
#define SAVORYWHEEL_APPS_LOAD_DEPLOYMENT_HPP

#include <load/deployment_domain.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorywheel::load {

/** @brief Layout of one user's mesh. */
struct deployment {
    /** @brief Name, such as "frigoporto". */
    std::string name;
    /** @brief Failure domains; the first one's region has the platform's service. */
    std::vector<deployment_domain> domains;
    /** @brief Services. */
    std::vector<std::string> services;
    /** @brief Backend servers of each service. */
    std::size_t servers_per_service{};
    /** @brief Requests that a backend server runs at one time. */
    std::uint32_t slots{};

    /** @return Number of nodes. */
    [[nodiscard]] std::size_t node_count() const noexcept
    {
        return services.size() * servers_per_service;
    }
};

/** @return The deployment of that name; nothing if it is unknown. */
[[nodiscard]] std::optional<deployment> find_deployment(std::string_view name);

} // namespace savorywheel::load

#endif
