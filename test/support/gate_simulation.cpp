#include <fmt/format.h>
#include <support/gate_simulation.hpp>

#include <algorithm>
#include <cmath>

namespace savorywheel::test {

namespace {

using std::chrono::milliseconds;

constexpr double spread = 0.65;
constexpr double slow_share = 0.01;
constexpr double slow_factor = 3.0;
/** Delay of the thread that watches the queue of a gate. */
constexpr milliseconds check_delay{10};

double milliseconds_of(duration length)
{
    return std::chrono::duration<double, std::milli>{length}.count();
}

} // namespace

gate_simulation::gate_simulation(std::uint32_t slots, std::vector<call_source> sources,
                                 std::chrono::seconds length, std::uint64_t seed)
    : sources_{std::move(sources)}, length_{length}, random_{seed}, results_(sources_.size())
{
    gate_.set_backend(backend_server{
        service_name{"service"}, version_name{"v1"}, {}, server_state::serving, slots});
    for (std::size_t i = 0; i < sources_.size(); ++i) {
        add_calls(i);
    }
    for (std::size_t i = 0; i < calls_.size(); ++i) {
        calls_[i].item->correlation = i;
        events_.emplace(calls_[i].item->arrived, step::arrive, i);
        events_.emplace(calls_[i].item->deadline, step::expire, i);
    }
}

void gate_simulation::add_calls(std::size_t source)
{
    const auto& input = sources_[source];
    std::normal_distribution<double> normal{0.0, spread};
    std::uniform_real_distribution<double> uniform;
    std::exponential_distribution<double> gap{input.per_second};
    const double mean_factor = std::exp(spread * spread / 2) * (1 + slow_share * (slow_factor - 1));
    const std::chrono::duration<double> length{length_};
    for (double at = gap(random_); at < length.count(); at += gap(random_)) {
        auto item = std::make_shared<gate_call>();
        item->arrived =
            start_ + std::chrono::duration_cast<duration>(std::chrono::duration<double>{at});
        item->deadline = item->arrived + input.deadline;
        item->call.service = service_name{"service"};
        item->call.version = version_name{"v1"};
        item->call.route = input.route;
        item->call.tenant = tenant_name{input.tenant};
        item->call.tenant_weight = input.weight;
        item->call.tenant_priority = input.tenant_priority;
        item->call.priority = input.priority;
        item->call.target_remaining = input.target;
        item->call.remaining = input.deadline;
        const double factor = std::exp(normal(random_)) / mean_factor *
                              (uniform(random_) < slow_share ? slow_factor : 1.0);
        const auto service = std::chrono::duration_cast<duration>(input.mean * factor);
        const bool counted = item->arrived > start_ + length_ / 10;
        calls_.push_back({std::move(item), source, service, counted, false});
    }
}

void gate_simulation::run()
{
    while (!events_.empty()) {
        const auto [time, kind, index] = events_.top();
        const auto check = gate_.next_check();
        const auto checks_at = check ? std::max(now_, *check) + check_delay : monotonic_time::max();
        if (checks_at < time) {
            now_ = checks_at;
            refuse_all(gate_.remove_expiring(now_));
        }
        else {
            now_ = time;
            events_.pop();
            handle(kind, index);
        }
        start_calls();
    }
}

void gate_simulation::handle(step kind, std::size_t index)
{
    if (kind == step::arrive) {
        arrive(index);
    }
    else if (!calls_[index].ended) {
        kind == step::finish ? finish(index) : expire(index);
    }
}

void gate_simulation::arrive(std::size_t index)
{
    const auto& item = calls_[index].item;
    if (gate_.decide(*item, false, now_) != call_refusal::none) {
        refuse(*item, true);
        return;
    }
    const auto expiring =
        gate_.push(item) ? gate_.remove_expiring(now_) : std::vector<gate_state::call_pointer>{};
    refuse_all(gate_.remove_displaced());
    refuse_all(expiring);
}

void gate_simulation::start_calls()
{
    while (gate_.has_work()) {
        refuse_all(gate_.remove_expiring(now_));
        const auto item = gate_.pop();
        if (item == nullptr) {
            return;
        }
        gate_.start(item, now_);
        auto& call = calls_[item->correlation];
        result_of(call).waited_ms += milliseconds_of(now_ - item->arrived);
        events_.emplace(now_ + call.service, step::finish, item->correlation);
        std::erase_if(at_server_, [this](monotonic_time end) { return end <= now_; });
        at_server_.push_back(now_ + call.service);
        max_at_server_ = std::max(max_at_server_, at_server_.size());
    }
}

void gate_simulation::finish(std::size_t index)
{
    auto& call = calls_[index];
    call.ended = true;
    auto response = call_response::unknown("");
    response.result = call_result::answered;
    static_cast<void>(gate_.end(call.item, response, now_));
    auto& result = result_of(call);
    ++result.calls;
    const bool in_time = now_ - call.item->arrived <= sources_[call.source].target;
    ++(in_time ? result.in_time : result.late);
}

void gate_simulation::expire(std::size_t index)
{
    auto& call = calls_[index];
    call.ended = true;
    auto& result = result_of(call);
    ++result.calls;
    ++result.expired;
    if (call.item->started == monotonic_time{}) {
        ++result.expired_in_queue;
        gate_.cancel_if([&call](const gate_call& item) { return &item == call.item.get(); });
        return;
    }
    call.item->cancel_signal.cancel();
    static_cast<void>(gate_.end(call.item, call_response::unknown("the deadline passed"), now_));
}

void gate_simulation::refuse(const gate_call& item, bool with_time)
{
    auto& call = calls_[item.correlation];
    call.ended = true;
    auto& result = result_of(call);
    ++result.calls;
    ++result.refused;
    result.refused_after_ms += milliseconds_of(now_ - item.arrived);
    result.refused_without_time += with_time ? 0 : 1;
}

void gate_simulation::refuse_all(std::span<const gate_state::call_pointer> items)
{
    for (const auto& item : items) {
        refuse(*item, gate_.retry_after(*item, now_) > duration::zero());
    }
}

source_result& gate_simulation::result_of(const played_call& call)
{
    return call.counted ? results_[call.source] : ignored_;
}

source_result gate_simulation::total(std::string_view prefix) const
{
    source_result sum;
    for (std::size_t i = 0; i < sources_.size(); ++i) {
        if (sources_[i].name.starts_with(prefix)) {
            sum += results_[i];
        }
    }
    return sum;
}

void gate_simulation::print(std::string_view title,
                            std::span<const std::string_view> prefixes) const
{
    fmt::print("{}: at most {} requests at the backend server\n", title, max_at_server_);
    for (const auto prefix : prefixes) {
        const auto sum = total(prefix);
        const int ran = std::max(1, sum.in_time + sum.late + sum.expired - sum.expired_in_queue);
        fmt::print("  {:12} calls {:6} in time {:5.1f} % late {:5.1f} % expired {:4.1f} % (queued "
                   "{}) refused {:4.1f} % after {:.0f} ms, waited {:.0f} ms\n",
                   prefix, sum.calls, 100 * sum.share(sum.in_time), 100 * sum.share(sum.late),
                   100 * sum.share(sum.expired), sum.expired_in_queue, 100 * sum.share(sum.refused),
                   sum.refused_after_ms / std::max(1, sum.refused), sum.waited_ms / ran);
    }
}

} // namespace savorywheel::test
