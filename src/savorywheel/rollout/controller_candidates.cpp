#include <savorywheel/rollout/controller_candidates.hpp>

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace savorywheel {

std::vector<node_id> controller_candidates(const service_name& service,
                                           std::span<const node_id> members)
{
    std::vector<std::pair<std::uint64_t, const node_id*>> ranks;
    ranks.reserve(members.size());
    for (const auto& member : members) {
        const auto text = service.str() + '/' + member.str();
        ranks.emplace_back(XXH3_64bits(text.data(), text.size()), &member);
    }
    const auto count = std::min(controllers_per_service, ranks.size());
    const auto middle = ranks.begin() + static_cast<std::ptrdiff_t>(count);
    std::ranges::partial_sort(ranks, middle, std::ranges::greater{},
                              &std::pair<std::uint64_t, const node_id*>::first);
    std::vector<node_id> chosen;
    for (std::size_t i = 0; i < count; ++i) {
        chosen.push_back(*ranks[i].second);
    }
    return chosen;
}

} // namespace savorywheel
