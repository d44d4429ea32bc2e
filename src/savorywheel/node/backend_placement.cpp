#include <savorywheel/node/backend_placement.hpp>

#include <fmt/format.h>

namespace savorywheel {

std::optional<std::string>
backend_placement::find_mismatch(const backend_announcement& announcement) const
{
    const auto& backend = announcement.backend;
    if (!service.empty() && backend.service != service) {
        return fmt::format("service {} on a VM of {}", backend.service.str(), service.str());
    }
    if (announcement.domain != domain) {
        return fmt::format("failure domain {} on a VM in {}", announcement.domain.str(),
                           domain.str());
    }
    if (backend.endpoint.address != address) {
        return fmt::format("address {} on the VM {}", backend.endpoint.address, address);
    }
    return std::nullopt;
}

backend_placement make_backend_placement(const node_settings& settings)
{
    return {settings.caller_service, settings.domain, settings.peer.address};
}

} // namespace savorywheel
