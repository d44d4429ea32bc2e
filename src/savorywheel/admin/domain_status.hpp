#ifndef SAVORYWHEEL_ADMIN_DOMAIN_STATUS_HPP
#define SAVORYWHEEL_ADMIN_DOMAIN_STATUS_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/names.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief Configuration versions in one failure domain, as known to the reporting node. */
struct domain_status {
    failure_domain domain;
    region_name region;
    /** @brief Number of live nodes. */
    std::uint32_t nodes{};
    /** @brief Number of live nodes whose configuration version this node has received. */
    std::uint32_t heard{};
    /** @brief Lowest of the latest reported versions; zero if none was reported. */
    config_version lowest;
    /** @brief Highest of the latest reported versions. */
    config_version highest;
};

} // namespace savorywheel

#endif
