#include "quota_fault_simulation.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace savorywheel::test {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t tenant = 7;
constexpr std::size_t node_count = 4;
constexpr auto step = 10ms;
constexpr auto lease_lifetime = 2500ms;
/** More tokens than a node gets. */
constexpr std::uint32_t hoarded = 2000;

tenant_limits make_limits(const quota_settings& settings, double rate, double burst)
{
    const std::vector<tenant_entry> tenants{{tenant_name{"t"}, tenant, 0, 1, rate, burst}};
    return {settings, tenants};
}

} // namespace

quota_fault_simulation::quota_fault_simulation(std::uint64_t seed, const quota_faults& faults)
    : faults_{faults}, random_{seed}, limits_{make_limits(settings_, faults.rate, faults.burst)},
      nodes_(node_count)
{
    for (auto& item : nodes_) {
        item.session = 1 + random_.below(1ULL << 62U);
    }
}

bool quota_fault_simulation::happens_once_in(std::chrono::milliseconds mean)
{
    return mean > 0ms && random_.below(static_cast<std::uint64_t>(mean / step)) == 0;
}

std::chrono::milliseconds quota_fault_simulation::up_to(std::chrono::milliseconds longest)
{
    return std::chrono::milliseconds{
        random_.below(static_cast<std::uint64_t>(longest.count()) + 1)};
}

void quota_fault_simulation::run(std::chrono::milliseconds length)
{
    const auto begin = now_;
    for (; now_ < begin + length; now_ += step) {
        if (now_ == begin + length / 2 && faults_.later_fraction < 1) {
            lowered_at_ = now_;
            limits_ = make_limits(settings_, faults_.rate * faults_.later_fraction,
                                  faults_.burst * faults_.later_fraction);
        }
        run_phase();
        run_coordinator();
        deliver();
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            run_node(i);
        }
        end_requests();
    }
    running_.clear();
}

void quota_fault_simulation::run_coordinator()
{
    if (happens_once_in(faults_.coordinator_life)) {
        crash_coordinator();
    }
    if (!ledger_ && now_ >= next_coordinator_) {
        ledger_.emplace(1 + random_.below(1ULL << 62U), now_, wait_);
    }
}

void quota_fault_simulation::crash_coordinator()
{
    if (ledger_) {
        const auto gap = chance(50) ? 0ms : up_to(3000ms);
        // A lease that was not released expires after its lifetime.
        const auto unsettled_wait =
            gap < lease_lifetime ? token_lifetime : token_lifetime - lease_lifetime;
        wait_ = ledger_->settled(now_) ? 0ms : unsettled_wait;
        ledger_.reset();
        next_coordinator_ = now_ + gap;
    }
}

void quota_fault_simulation::send(message item)
{
    const int copies = chance(faults_.duplicates) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        if (!chance(faults_.loss)) {
            // Most messages are fast, so that the exchange makes progress.
            item.due = now_ + (chance(70) ? 10ms : up_to(faults_.max_delay));
            network_.push_back(item);
        }
    }
}

void quota_fault_simulation::deliver()
{
    std::deque<message> later;
    for (auto& item : std::exchange(network_, {})) {
        if (item.due > now_ || (item.grant && nodes_[item.node].paused_until > now_)) {
            later.push_back(std::move(item));
        }
        else if (item.request) {
            deliver_to_coordinator(item);
        }
        else {
            deliver_to_node(item);
        }
    }
    network_.insert(network_.begin(), later.begin(), later.end());
}

void quota_fault_simulation::deliver_to_coordinator(const message& item)
{
    if (!ledger_) {
        return;
    }
    if (auto grant = ledger_->decide(*item.request, now_, limits_)) {
        send({{}, item.node, std::nullopt, std::move(grant)});
    }
}

void quota_fault_simulation::deliver_to_node(const message& item)
{
    auto& owner = nodes_[item.node];
    const auto& grant = *item.grant;
    if (!owner.open || grant.session != owner.session ||
        grant.sequence != owner.open->message.sequence) {
        return;
    }
    owner.last_ledger = grant.ledger;
    owner.last_time_ms = grant.time_ms;
    owner.stock.receive(grant.items, owner.open->first_sent, now_);
    owner.open.reset();
}

void quota_fault_simulation::run_node(std::size_t index)
{
    auto& owner = nodes_[index];
    if (now_ < owner.paused_until) {
        return;
    }
    if (happens_once_in(faults_.node_life)) {
        if (chance(50)) {
            owner = node{};
            owner.session = 1 + random_.below(1ULL << 62U);
        }
        owner.paused_until = now_ + up_to(6000ms);
        return;
    }
    use_tokens(index);
    exchange(index);
}

/** Requests a few tokens for requests that wait, and uses the tokens that the phase allows. */
void quota_fault_simulation::use_tokens(std::size_t index)
{
    auto& owner = nodes_[index];
    if (phase_ == phase::idle) {
        return;
    }
    const bool hoards = phase_ >= phase::hoard;
    const auto most_waiting = hoards ? hoarded : 20U;
    auto arriving = !hoards && !chance(10) ? 0 : random_.below(40);
    for (; arriving > 0; --arriving) {
        const auto token = hoards ? std::nullopt : owner.stock.take(tenant, now_);
        if (token) {
            accept(index, *token);
        }
        else if (owner.waiting < most_waiting) {
            owner.stock.begin_wait(tenant);
            ++owner.waiting;
        }
    }
    while (owner.waiting > 0 && !hoards) {
        const auto token = owner.stock.take_for_waiting(tenant, now_);
        if (!token) {
            break;
        }
        --owner.waiting;
        accept(index, *token);
    }
}

void quota_fault_simulation::run_phase()
{
    if (now_ < phase_ends_) {
        return;
    }
    constexpr std::array longest{7000ms, 3000ms, 1500ms, 3000ms, 1500ms};
    const auto next = static_cast<std::size_t>(phase_) + 1;
    phase_ = faults_.hoarding ? static_cast<phase>(next % longest.size()) : phase::steady;
    phase_ends_ = now_ + up_to(longest.at(static_cast<std::size_t>(phase_)));
    not_run_ = !faults_.hoarding || chance(50) ? faults_.not_run : 0;
    if (phase_ > phase::hoard && faults_.coordinator_life > 0ms && chance(50)) {
        crash_coordinator();
    }
}

void quota_fault_simulation::accept(std::size_t index, const quota_token& token)
{
    if (!chance(not_run_)) {
        accepted_.push_back(now_);
        return;
    }
    running_.push_back(
        {now_ + up_to(faults_.max_refusal_time), index, nodes_[index].session, token});
}

void quota_fault_simulation::exchange(std::size_t index)
{
    auto& owner = nodes_[index];
    if (owner.open && now_ - owner.open->first_sent >= 600ms) {
        owner.open.reset();
    }
    if (owner.open) {
        if (now_ - owner.open->last_sent >= 150ms) {
            owner.open->last_sent = now_;
            send({{}, index, owner.open->message, std::nullopt});
        }
        return;
    }
    if (!owner.stock.has_requests(0) || chance(50)) {
        return;
    }
    auto items = owner.stock.prepare(0, now_);
    if (!items.empty()) {
        quota_request request;
        request.session = owner.session;
        request.sequence = ++owner.sequence;
        request.last_ledger = owner.last_ledger;
        request.last_time_ms = owner.last_time_ms;
        request.items = std::move(items);
        owner.open = open_request{request, now_, now_};
        send({{}, index, std::move(request), std::nullopt});
    }
}

void quota_fault_simulation::end_requests()
{
    std::erase_if(running_, [this](const running_request& item) {
        auto& owner = nodes_[item.node];
        if (item.ends > now_ || owner.paused_until > now_) {
            return false;
        }
        if (owner.session == item.session) {
            owner.stock.put_back(tenant, item.token, now_);
        }
        return true;
    });
}

double quota_fault_simulation::bound(double fraction) const
{
    const auto window = std::chrono::duration<double>(settings_.window).count();
    return (faults_.rate * window + faults_.burst) * fraction * (1 + settings_.over) +
           settings_.slack;
}

double quota_fault_simulation::worst_excess() const
{
    double worst = -bound(1);
    std::size_t first = 0;
    for (std::size_t last = 0; last < accepted_.size(); ++last) {
        while (accepted_[last] - accepted_[first] > settings_.window) {
            ++first;
        }
        worst = std::max(worst, static_cast<double>(last - first + 1) - bound(1));
    }
    if (lowered_at_ == duration::max()) {
        return worst;
    }
    const auto from = std::ranges::lower_bound(accepted_, lowered_at_ + settings_.window);
    for (auto start = from; start != accepted_.end(); ++start) {
        const auto end = std::upper_bound(start, accepted_.end(), *start + settings_.window);
        worst = std::max(worst, static_cast<double>(end - start) - bound(faults_.later_fraction));
    }
    return worst;
}

} // namespace savorywheel::test
