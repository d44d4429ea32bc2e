#include <savorywheel/distribution/operator_documents.hpp>

#include <algorithm>
#include <numeric>

namespace savorywheel {

config_version operator_documents::revision_sum() const noexcept
{
    return config_version{std::accumulate(
        orders.begin(), orders.end(), revision,
        [](std::uint64_t sum, const rollout_order& order) { return sum + order.revision; })};
}

bool operator_documents::merge(const operator_configuration& candidate,
                               std::uint64_t candidate_revision)
{
    if (candidate_revision <= revision || candidate.version < configuration.version) {
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

const rollout_order* operator_documents::find_order(const service_name& service) const noexcept
{
    const auto found = std::ranges::find(orders, service, &rollout_order::service);
    return found == orders.end() ? nullptr : &*found;
}

} // namespace savorywheel
