#include <savorywheel/distribution/commit_keys.hpp>

#include <fmt/format.h>

#include <charconv>
#include <system_error>

namespace savorywheel {

std::string commit_key(config_version version)
{
    return fmt::format("{}{:020}", commit_prefix, version.number);
}

std::optional<config_version> version_of_key(std::string_view key)
{
    if (!key.starts_with(commit_prefix)) {
        return std::nullopt;
    }
    const auto digits = key.substr(commit_prefix.size());
    config_version version;
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), version.number);
    if (error != std::errc{} || end != digits.data() + digits.size() ||
        commit_key(version) != key) {
        return std::nullopt;
    }
    return version;
}

std::string manifest_key(config_version version)
{
    return fmt::format("{}{:020}", manifest_prefix, version.number);
}

std::string claim_key(config_version version)
{
    return fmt::format("{}{:020}", claim_prefix, version.number);
}

std::string shard_key_prefix(config_version version)
{
    return fmt::format("{}{:020}/", shard_prefix, version.number);
}

std::string shard_key(config_version version, std::uint32_t shard)
{
    return fmt::format("{}{:06}", shard_key_prefix(version), shard);
}

std::string relay_lease_key(const failure_domain& domain)
{
    return fmt::format("{}relay/{}", lease_prefix, domain.str());
}

} // namespace savorywheel
