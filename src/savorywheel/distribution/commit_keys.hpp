#ifndef SAVORYWHEEL_DISTRIBUTION_COMMIT_KEYS_HPP
#define SAVORYWHEEL_DISTRIBUTION_COMMIT_KEYS_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/names.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace savorywheel {

/** @brief Key prefix of commits. */
inline constexpr std::string_view commit_prefix = "commits/";

/** @brief Key prefix of checkpoint manifests. */
inline constexpr std::string_view manifest_prefix = "checkpoints/manifests/";

/** @brief Key prefix of checkpoint shards. */
inline constexpr std::string_view shard_prefix = "checkpoints/shards/";

/** @brief Key prefix of claims, which elect one writer per checkpoint. */
inline constexpr std::string_view claim_prefix = "checkpoints/claims/";

/** @brief Key prefix of leases. */
inline constexpr std::string_view lease_prefix = "leases/";

/** @return Key of a commit; keys sort in version order. */
[[nodiscard]] std::string commit_key(config_version version);

/** @return Version encoded in a commit key; nullopt for any other key. */
[[nodiscard]] std::optional<config_version> version_of_key(std::string_view key);

[[nodiscard]] std::string manifest_key(config_version version);

/** @return Key whose creation elects the writer of a checkpoint. */
[[nodiscard]] std::string claim_key(config_version version);

/** @return Common prefix of the shard keys of a checkpoint. */
[[nodiscard]] std::string shard_key_prefix(config_version version);

[[nodiscard]] std::string shard_key(config_version version, std::uint32_t shard);

/** @return Key of the lease of a failure domain's relay. */
[[nodiscard]] std::string relay_lease_key(const failure_domain& domain);

} // namespace savorywheel

#endif
