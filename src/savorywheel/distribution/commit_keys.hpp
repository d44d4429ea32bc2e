#ifndef SAVORYWHEEL_DISTRIBUTION_COMMIT_KEYS_HPP
#define SAVORYWHEEL_DISTRIBUTION_COMMIT_KEYS_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/names.hpp>

#include <string>
#include <string_view>

namespace savorywheel {

/** @brief Prefix of the commits' keys. */
inline constexpr std::string_view commit_prefix = "commits/";

/** @brief Prefix of the leases' keys. */
inline constexpr std::string_view lease_prefix = "leases/";

/** @return Key of a commit; keys sort like versions. */
[[nodiscard]] std::string commit_key(config_version version);

/** @return Key of the lease on relaying into a failure domain. */
[[nodiscard]] std::string relay_lease_key(const failure_domain& domain);

} // namespace savorywheel

#endif
