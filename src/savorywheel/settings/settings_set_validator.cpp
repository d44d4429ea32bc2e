#include <savorywheel/settings/settings_set_validator.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace savorywheel {

std::vector<std::string> settings_set_validator::check_uniqueness() const
{
    std::vector<std::string> faults;
    std::map<std::string, std::string> owners;
    const auto claim = [&](const std::string& path, const std::string& resource) {
        const auto [owner, is_new] = owners.emplace(resource, path);
        if (!is_new) {
            faults.push_back(
                fmt::format("{}: found {} of {}; expected another", path, resource, owner->second));
        }
    };
    for (const auto& [path, settings] : files_) {
        claim(path, "the name " + settings.name.str());
        for (const auto& endpoint : {settings.traffic, settings.admin, settings.peer}) {
            claim(path, "the endpoint " + to_string(endpoint));
        }
    }
    return faults;
}

std::vector<std::string> settings_set_validator::check_domains(const mesh_spec& spec) const
{
    std::vector<std::string> faults;
    for (const auto& [path, settings] : files_) {
        const domain_spec node_domain{settings.domain, settings.region};
        if (std::ranges::find(spec.domains, node_domain) == spec.domains.end()) {
            faults.push_back(fmt::format(
                "{}: found failure domain {} in {}; expected one of the text's failure domains",
                path, node_domain.name.str(), node_domain.region.str()));
        }
    }
    return faults;
}

} // namespace savorywheel
