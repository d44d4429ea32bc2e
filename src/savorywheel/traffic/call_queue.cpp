#include <savorywheel/traffic/call_queue.hpp>

#include <iterator>
#include <utility>

namespace savorywheel {

namespace {

/** Pairs of priorities with calls; a mesh has a few of each kind. */
constexpr std::size_t max_lanes = 64;

} // namespace

bool call_queue::push(call_pointer item)
{
    const auto& call = item->call;
    const auto rank = rank_of(*item, item->placement);
    ++arrivals_;
    auto& lane = lanes_[{call.tenant_priority, call.priority}];
    if (item->placement == call_class::express) {
        ++lane.express;
    }
    else {
        lane.clock.add(call.tenant, item->expected.mean, call.tenant_weight);
    }
    ++lane.size;
    work_ += item->expected.mean;
    const auto added = calls_.emplace(rank, std::move(item)).first;
    return std::next(added) != calls_.end();
}

call_queue::call_pointer call_queue::pop()
{
    return calls_.empty() ? nullptr : remove(next(), true);
}

call_queue::call_pointer call_queue::pop_last()
{
    return calls_.empty() ? nullptr : remove(std::prev(calls_.end()), false);
}

/** Returns the first call, or the first one that is not express if those have had their share. */
call_queue::call_map::iterator call_queue::next()
{
    const auto first = calls_.begin();
    const auto& rank = first->first;
    const auto& lane = lanes_.at({rank.tenant_priority, rank.priority});
    if (rank.placement != call_class::express || lane.size == lane.express ||
        !lane.share.exhausted()) {
        return first;
    }
    return calls_.lower_bound(
        {rank.tenant_priority, rank.priority, false, call_class::on_time, 0.0, 0});
}

call_queue::call_pointer call_queue::remove(call_map::iterator position, bool starts)
{
    const auto rank = position->first;
    auto item = std::move(position->second);
    calls_.erase(position);
    const auto work = item->expected.mean;
    work_ -= work;
    const auto found = lanes_.find({rank.tenant_priority, rank.priority});
    auto& lane = found->second;
    --lane.size;
    if (rank.placement == call_class::express) {
        --lane.express;
        if (starts && lane.size > lane.express) {
            lane.share.spend(work);
        }
    }
    else if (starts) {
        lane.clock.advance(work);
        lane.share.earn(work);
    }
    else {
        lane.clock.take_back(item->call.tenant, work, item->call.tenant_weight);
    }
    // The history of the tenants outlives a queue that is empty for a moment.
    if (lane.size == 0 && (lane.clock.size() == 0 || lanes_.size() > max_lanes)) {
        lanes_.erase(found);
    }
    return item;
}

queue_rank call_queue::rank_of(const gate_call& item, call_class placement) const
{
    const auto& call = item.call;
    queue_rank rank{call.tenant_priority, call.priority, false, placement, 0.0, arrivals_ + 1};
    const auto found = lanes_.find({call.tenant_priority, call.priority});
    if (placement != call_class::express && found != lanes_.end()) {
        const auto& clock = found->second.clock;
        rank.start_tag = clock.start_tag(call.tenant, call.tenant_weight);
        // Without a tenant there is nobody to share with.
        rank.beyond_share = !call.tenant.str().empty() && clock.is_beyond_share(rank.start_tag);
    }
    return rank;
}

queue_ahead call_queue::ahead_of(const queue_rank& rank) const
{
    queue_ahead ahead;
    const auto last = calls_.lower_bound(rank);
    for (auto item = calls_.begin(); item != last; ++item) {
        ++ahead.calls;
        ahead.work += item->second->expected.mean;
    }
    return ahead;
}

std::size_t call_queue::count_ahead_of(std::uint32_t priority) const
{
    return ahead_of({0, priority + 1, false, call_class::express, 0.0, 0}).calls;
}

void call_queue::for_each(const std::function<void(const gate_call&)>& visit) const
{
    for (const auto& [rank, item] : calls_) {
        visit(*item);
    }
}

std::vector<call_queue::call_pointer>
call_queue::remove_if(const std::function<bool(const gate_call&)>& predicate)
{
    return remove_if([&predicate](const gate_call& item, const queue_ahead& /*ahead*/) {
        return predicate(item);
    });
}

std::vector<call_queue::call_pointer>
call_queue::remove_if(const std::function<bool(const gate_call&, const queue_ahead&)>& predicate)
{
    std::vector<call_pointer> removed;
    queue_ahead ahead;
    for (auto item = calls_.begin(); item != calls_.end();) {
        const auto current = item++;
        if (predicate(*current->second, ahead)) {
            removed.push_back(remove(current, false));
            continue;
        }
        ++ahead.calls;
        ahead.work += current->second->expected.mean;
    }
    return removed;
}

} // namespace savorywheel
