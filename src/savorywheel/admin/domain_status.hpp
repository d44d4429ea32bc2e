#ifndef SAVORYWHEEL_ADMIN_DOMAIN_STATUS_HPP
#define SAVORYWHEEL_ADMIN_DOMAIN_STATUS_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/names.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief What a node knows of the configuration versions in one failure domain. */
struct domain_status {
    /** @brief Failure domain. */
    failure_domain domain;
    /** @brief Region. */
    region_name region;
    /** @brief Nodes that answer. */
    std::uint32_t nodes{};
    /** @brief Those of them that have told this node their version. */
    std::uint32_t heard{};
    /** @brief Lowest version that one of them told last; zero if none did. */
    config_version lowest;
    /** @brief Highest version that one of them told last. */
    config_version highest;
};

} // namespace savorywheel

#endif
