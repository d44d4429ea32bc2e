#include <fmt/format.h>
#include <load/mesh_text.hpp>

#include <string_view>

namespace savorywheel::load {

namespace {

constexpr std::size_t first_deadline_ms = 2000;

std::string service_text(std::string_view name, std::size_t deadline_ms)
{
    return fmt::format("  - name: {}\n"
                       "    routes:\n"
                       "      - {{path: /, idempotent: true, deadline_ms: {}}}\n"
                       "    versions:\n"
                       "      - {{name: v1, weight: 100}}\n",
                       name, deadline_ms);
}

} // namespace

std::string make_mesh_text(const deployment& layout, std::size_t extra_services, std::size_t edit)
{
    std::string text = "failure_domains:\n";
    for (const auto& domain : layout.domains) {
        text += fmt::format("  - {{name: {}, region: {}}}\n", domain.name, domain.region);
    }
    text += "services:\n";
    for (std::size_t i = 0; i < layout.services.size(); ++i) {
        text += service_text(layout.services[i], first_deadline_ms + (i == 0 ? edit : 0));
    }
    for (std::size_t i = 0; i < extra_services; ++i) {
        text += service_text(fmt::format("service-{:04}", i), first_deadline_ms);
    }
    return text;
}

} // namespace savorywheel::load
