#include <savorywheel/membership/probe_round.hpp>

#include <utility>

namespace savorywheel {

namespace {

/** One probe in this many targets another region. */
constexpr std::uint64_t other_region_divisor = 8;

} // namespace

probe_round::probe_round(node_id self, region_name region, random_source& random)
    : self_{std::move(self)}, region_{std::move(region)}, random_{random}
{
}

std::optional<member_record> probe_round::next(const member_table& members)
{
    const bool own_region = random_.below(other_region_divisor) != 0;
    auto target = next_of(own_region, members);
    return target ? target : next_of(!own_region, members);
}

std::optional<member_record> probe_round::next_of(bool own_region, const member_table& members)
{
    auto& round = own_region ? own_region_queue_ : other_regions_queue_;
    const bool refilled = round.empty();
    if (refilled) {
        refill(own_region, members);
    }
    while (!round.empty()) {
        const auto id = std::move(round.back());
        round.pop_back();
        const auto* known = members.find(id);
        if (known != nullptr && known->update.status != member_status::dead) {
            return known->update.record;
        }
    }
    return refilled ? std::nullopt : next_of(own_region, members);
}

void probe_round::refill(bool own_region, const member_table& members)
{
    auto& round = own_region ? own_region_queue_ : other_regions_queue_;
    for (const auto* item : members.live()) {
        const auto& record = item->update.record;
        if (record.id != self_ && (record.region == region_) == own_region) {
            round.push_back(record.id);
        }
    }
    for (std::size_t i = round.size(); i > 1; --i) {
        std::swap(round[i - 1], round[random_.below(i)]);
    }
}

} // namespace savorywheel
