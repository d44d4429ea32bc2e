#ifndef SAVORYWHEEL_DISTRIBUTION_COMMIT_KEYS_HPP
#define SAVORYWHEEL_DISTRIBUTION_COMMIT_KEYS_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/names.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace savorywheel {

/** @brief Prefix of the commits' keys. */
inline constexpr std::string_view commit_prefix = "commits/";

/** @brief Prefix of the keys of checkpoint manifests. */
inline constexpr std::string_view manifest_prefix = "checkpoints/manifests/";

/** @brief Prefix of the keys of checkpoint shards. */
inline constexpr std::string_view shard_prefix = "checkpoints/shards/";

/** @brief Prefix of the keys by which one writer per checkpoint is chosen. */
inline constexpr std::string_view claim_prefix = "checkpoints/claims/";

/** @brief Prefix of the leases' keys. */
inline constexpr std::string_view lease_prefix = "leases/";

/** @return Key of a commit; keys sort like versions. */
[[nodiscard]] std::string commit_key(config_version version);

/** @return Version that a commit's key names; nothing if it is no such key. */
[[nodiscard]] std::optional<config_version> version_of_key(std::string_view key);

/** @return Key of a checkpoint's manifest. */
[[nodiscard]] std::string manifest_key(config_version version);

/** @return Key by which the writer of a checkpoint is chosen. */
[[nodiscard]] std::string claim_key(config_version version);

/** @return Start of the keys of a checkpoint's shards. */
[[nodiscard]] std::string shard_key_prefix(config_version version);

/** @return Key of a checkpoint's shard. */
[[nodiscard]] std::string shard_key(config_version version, std::uint32_t shard);

/** @return Key of the lease on relaying into a failure domain. */
[[nodiscard]] std::string relay_lease_key(const failure_domain& domain);

} // namespace savorywheel

#endif
