#include <savorywheel/distribution/operator_documents.hpp>

#include <xxhash.h>

#include <algorithm>
#include <numeric>
#include <string>
#include <string_view>
#include <tuple>

namespace savorywheel {

namespace {

std::uint64_t digest_of(std::string_view name, std::uint64_t revision)
{
    return XXH3_64bits_withSeed(name.data(), name.size(), revision);
}

} // namespace

config_version operator_documents::revision_sum() const noexcept
{
    return config_version{std::accumulate(
        orders.begin(), orders.end(), revision,
        [](std::uint64_t sum, const rollout_order& order) { return sum + order.revision; })};
}

configuration_head operator_documents::head() const
{
    configuration_head result{revision_sum(), configuration.version, 0};
    if (revision != 0) {
        // Service names are not empty, so an order never has the name of the configuration.
        result.digest = digest_of({}, revision);
    }
    for (const auto& order : orders) {
        result.digest ^= digest_of(order.service.str(), order.revision);
    }
    return result;
}

bool operator_documents::lacks_any_of(const configuration_head& remote) const
{
    const auto own = head();
    return remote.digest != own.digest &&
           (remote.operator_version > own.operator_version || remote.version >= own.version);
}

bool operator_documents::is_newer(config_version candidate,
                                  std::uint64_t candidate_revision) const noexcept
{
    return std::tuple{candidate, candidate_revision} > std::tuple{configuration.version, revision};
}

bool operator_documents::merge(const operator_configuration& candidate,
                               std::uint64_t candidate_revision)
{
    if (!is_newer(candidate.version, candidate_revision)) {
        return false;
    }
    configuration = candidate;
    revision = candidate_revision;
    return true;
}

bool operator_documents::merge(const rollout_order& candidate)
{
    const auto known = std::ranges::find(orders, candidate.service, &rollout_order::service);
    if (known == orders.end()) {
        orders.push_back(candidate);
        return true;
    }
    if (candidate.revision <= known->revision) {
        return false;
    }
    *known = candidate;
    return true;
}

bool operator_documents::merge(const operator_documents& candidates)
{
    bool changed = merge(candidates.configuration, candidates.revision);
    for (const auto& order : candidates.orders) {
        changed = merge(order) || changed;
    }
    return changed;
}

document_request operator_documents::request() const noexcept
{
    return {configuration.version, revision};
}

operator_documents operator_documents::answer(const document_request& request) const
{
    if (std::tuple{configuration.version, revision} >
        std::tuple{request.version, request.revision}) {
        return *this;
    }
    return {{}, 0, orders};
}

const rollout_order* operator_documents::find_order(const service_name& service) const noexcept
{
    const auto found = std::ranges::find(orders, service, &rollout_order::service);
    return found == orders.end() ? nullptr : &*found;
}

} // namespace savorywheel
