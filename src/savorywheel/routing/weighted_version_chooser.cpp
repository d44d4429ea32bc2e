#include <savorywheel/routing/weighted_version_chooser.hpp>

#include <vector>

namespace savorywheel {

std::optional<version_name> weighted_version_chooser::choose(const service_routes& routes)
{
    std::vector<const version_weight*> candidates;
    std::uint64_t sum = 0;
    for (const auto& weight : routes.state->effective_weights()) {
        if (weight.permille > 0 && routes.has_endpoint(weight.version)) {
            candidates.push_back(&weight);
            sum += weight.permille;
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    auto draw = random_.below(sum);
    for (const auto* weight : candidates) {
        if (draw < weight->permille) {
            return weight->version;
        }
        draw -= weight->permille;
    }
    return candidates.back()->version;
}

} // namespace savorywheel
