#include <savorywheel/admin/announcement_rules.hpp>
#include <savorywheel/config/name_rules.hpp>

#include <fmt/format.h>

namespace savorywheel {

namespace {

failure invalid(std::string_view part, std::string_view rule)
{
    return {failure_code::invalid_argument, fmt::format("{} must be {}", part, rule)};
}

} // namespace

outcome<bool> check_announcement(const backend_server& backend)
{
    if (!is_host_label(backend.service.str())) {
        return invalid("service", host_label_rule);
    }
    if (!is_key_segment(backend.version.str())) {
        return invalid("version", key_segment_rule);
    }
    if (!is_usable(backend.endpoint)) {
        return invalid("endpoint", "an IP number and a port");
    }
    if (backend.state > server_state::draining) {
        return invalid("state", "the number of a state");
    }
    if (backend.slots == 0 || backend.slots > max_backend_slots) {
        return invalid("slots", fmt::format("1 to {}", max_backend_slots));
    }
    return true;
}

} // namespace savorywheel
