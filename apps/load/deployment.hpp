#ifndef SAVORYWHEEL_APPS_LOAD_DEPLOYMENT_HPP
#define SAVORYWHEEL_APPS_LOAD_DEPLOYMENT_HPP

#include <load/deployment_domain.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorywheel::load {

/** @brief Layout of a mesh: failure domains, services and slots. */
struct deployment {
    /** @brief Name, such as "frigoporto". */
    std::string name;
    /** @brief Failure domains; the platform's store is in the region of the first one. */
    std::vector<deployment_domain> domains;
    std::vector<std::string> services;
    /** @brief Number of backend servers of each service. */
    std::size_t servers_per_service{};
    /** @brief Concurrent requests of a backend server. */
    std::uint32_t slots{};

    /** @return Number of nodes, one per backend server. */
    [[nodiscard]] std::size_t node_count() const noexcept
    {
        return services.size() * servers_per_service;
    }
};

/** @return Built-in deployment of that name; empty if there is none. */
[[nodiscard]] std::optional<deployment> find_deployment(std::string_view name);

} // namespace savorywheel::load

#endif
