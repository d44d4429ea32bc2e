#include <savorywheel/distribution/commit_keys.hpp>

#include <fmt/format.h>

namespace savorywheel {

std::string commit_key(config_version version)
{
    return fmt::format("{}{:020}", commit_prefix, version.number);
}

std::string relay_lease_key(const failure_domain& domain)
{
    return fmt::format("{}relay/{}", lease_prefix, domain.str());
}

} // namespace savorywheel
