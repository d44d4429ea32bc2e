#include <fmt/format.h>
#include <load/deployment.hpp>

#include <span>

namespace savorywheel::load {

namespace {

constexpr std::size_t domains_per_region = 2;
constexpr std::size_t servers = 6;
constexpr std::uint32_t frigoporto_slots = 12;
constexpr std::uint32_t kaldmaa_slots = 9;

deployment make_deployment(std::string name, std::span<const char* const> regions,
                           std::vector<std::string> services, std::uint32_t slots)
{
    deployment result;
    result.name = std::move(name);
    for (std::size_t i = 0; i < regions.size(); ++i) {
        for (std::size_t j = 1; j <= domains_per_region; ++j) {
            result.domains.push_back({fmt::format("{}-{}", regions[i], j), regions[i], i});
        }
    }
    result.services = std::move(services);
    result.servers_per_service = servers;
    result.slots = slots;
    return result;
}

} // namespace

std::optional<deployment> find_deployment(std::string_view name)
{
    if (name == "frigoporto") {
        constexpr const char* regions[] = {"liguria-west", "liguria-east", "adriatic-north"};
        return make_deployment("frigoporto", regions, {"plugboard", "bookdesk", "coldlog"},
                               frigoporto_slots);
    }
    if (name == "kaldmaa") {
        constexpr const char* regions[] = {"tallinn", "tartu", "parnu"};
        return make_deployment("kaldmaa", regions, {"lugeja", "teataja", "korrektuur"},
                               kaldmaa_slots);
    }
    return std::nullopt;
}

} // namespace savorywheel::load
