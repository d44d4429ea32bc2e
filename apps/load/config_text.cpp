#include <fmt/format.h>
#include <load/config_text.hpp>

#include <string_view>

namespace savorywheel::load {

namespace {

constexpr std::size_t base_deadline_ms = 2000;

std::string domains_yaml(const deployment& layout)
{
    std::string text = "failure_domains:\n";
    for (const auto& domain : layout.domains) {
        text += fmt::format("  - {{name: {}, region: {}}}\n", domain.name, domain.region);
    }
    return text + "services:\n";
}

std::string service_yaml(std::string_view name, std::size_t deadline_ms,
                         std::string_view version = "v1")
{
    return fmt::format("  - name: {}\n"
                       "    routes:\n"
                       "      - {{path: /, idempotent: true, deadline_ms: {}}}\n"
                       "    versions:\n"
                       "      - {{name: {}, weight: 100}}\n",
                       name, deadline_ms, version);
}

} // namespace

std::string make_config_text(const deployment& layout, std::size_t extra_services, std::size_t edit)
{
    auto text = domains_yaml(layout);
    for (std::size_t i = 0; i < layout.services.size(); ++i) {
        text += service_yaml(layout.services[i], base_deadline_ms + (i == 0 ? edit : 0));
    }
    for (std::size_t i = 0; i < extra_services; ++i) {
        text += service_yaml(fmt::format("service-{:04}", i), base_deadline_ms);
    }
    return text;
}

std::string make_rollout_config_text(const deployment& layout,
                                     const std::map<std::string, std::string>& versions,
                                     const std::string& due)
{
    auto text = domains_yaml(layout);
    for (const auto& service : layout.services) {
        const auto found = versions.find(service);
        text += service_yaml(service, base_deadline_ms,
                             found == versions.end() ? std::string{"v1"} : found->second);
        if (!due.empty()) {
            text += fmt::format("    by: {}\n", due);
        }
    }
    return text;
}

} // namespace savorywheel::load
