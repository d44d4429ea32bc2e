#include <savorywheel/rollout/move_shares.hpp>
#include <savorywheel/rollout/step_schedule.hpp>
#include <savorywheel/routing/weighted_version_selection.hpp>

#include <support/load_fault_simulation.hpp>

#include <algorithm>
#include <string>

namespace savorywheel::test {

namespace {

constexpr int domain_count = 6;
constexpr int domains_per_region = 2;
constexpr std::uint32_t slots = 12;
/** Routes of the configuration that get no calls. */
constexpr int unused_routes = 200;
constexpr std::chrono::milliseconds step{5};
/** Time from the order until the new version's backend servers are known. */
constexpr double new_servers_after = 1.7;
/** Time from a decision until nodes route by it. */
constexpr double propagation_seconds = 0.15;
constexpr const char* route = "/plugs";

const service_name plugboard{"plugboard"};
const version_name old_version{"v1"};
const version_name new_version{"v2"};

region_name region_of(int domain)
{
    return region_name{std::to_string(domain / domains_per_region)};
}

} // namespace

/** A node that sends the calls of one failure domain. */
struct load_fault_simulation::caller_node {
    caller_node(int domain, random_source& random, const clock& time)
        : health{time}, selector{failure_domain{std::to_string(domain)},
                                 region_of(domain),
                                 {loads, health, random, time}},
          recorder{region_of(domain)}
    {
        recorder.set_monitored_services({plugboard});
    }

    load_table loads;
    endpoint_health health;
    locality_endpoint_selector selector;
    evidence_recorder recorder;
    double report_phase{};
};

struct load_fault_simulation::running_call {
    caller_node* node{};
    route_endpoint endpoint;
    monotonic_time started;
    monotonic_time ends;
    bool fails{};
};

load_fault_simulation::load_fault_simulation(rollout_policy& policy,
                                             const load_fault_scenario& scenario,
                                             std::uint64_t seed)
    : policy_{policy}, scenario_{scenario}, engine_{seed}, random_{seed}
{
    std::uniform_real_distribution<double> phase{0.0, 1.0};
    for (int domain = 0; domain < domain_count; ++domain) {
        nodes_.push_back(std::make_unique<caller_node>(domain, random_, time_));
        nodes_.back()->report_phase = phase(engine_);
        add_member(domain, "v1");
    }
    control_phase_ = phase(engine_);
    service_.spec.name = plugboard;
    service_.spec.routes = {{route, true, std::chrono::milliseconds{2000}, {}}};
    for (int i = 0; i < unused_routes; ++i) {
        service_.spec.routes.push_back(
            {"/unused/" + std::to_string(i), true, std::chrono::milliseconds{2000}, {}});
    }
    service_.weights = {{old_version, weight_sum_permille}};
    rollout_move move;
    move.from = service_.weights;
    move.to = {{new_version, weight_sum_permille}};
    move.started_at = time_.calendar_now();
    move.due = move.started_at + std::chrono::seconds{load_fault_move_seconds};
    service_.move = move;
    commit_service();
    publish();
}

load_fault_simulation::~load_fault_simulation() = default;

load_fault_result load_fault_simulation::run()
{
    std::poisson_distribution<int> arrivals{scenario_.calls_per_second *
                                            std::chrono::duration<double>{step}.count()};
    while (seconds() < load_fault_move_seconds) {
        time_.advance(step);
        if (new_servers_ == 0 && seconds() >= new_servers_after) {
            for (int domain = 0; domain < domain_count; ++domain) {
                add_member(domain, "v2");
            }
            new_servers_ = domain_count;
            publish();
        }
        if (publish_at_ && seconds() >= *publish_at_) {
            publish_at_.reset();
            publish();
        }
        end_calls();
        for (int i = arrivals(engine_); i > 0; --i) {
            start_call();
        }
        for (const auto& node : nodes_) {
            if (due_each_period(node->report_phase)) {
                for (const auto& item : node->recorder.drain()) {
                    reported_.add(item);
                }
            }
        }
        if (due_each_period(control_phase_)) {
            control();
        }
    }
    result_.new_servers_called = new_servers_called_.size();
    return result_;
}

void load_fault_simulation::add_member(int domain, const char* version)
{
    member_update update;
    update.record.id = node_id{version + std::string{"-"} + std::to_string(domain)};
    update.record.domain = failure_domain{std::to_string(domain)};
    update.record.region = region_of(domain);
    update.record.service = plugboard;
    update.record.version = version_name{version};
    update.record.state = server_state::serving;
    update.record.slots = slots;
    update.record.incarnation = 1;
    members_.merge(update, time_.now());
}

void load_fault_simulation::commit_service()
{
    commit change;
    change.version = state_.version().next();
    change.upserts = {service_};
    state_ = *state_.apply(change);
    builder_.set_state(state_);
}

void load_fault_simulation::publish()
{
    table_ = builder_.build(members_);
}

void load_fault_simulation::start_call()
{
    auto& node = *nodes_[random_.below(nodes_.size())];
    const auto routes = table_->find(plugboard);
    const auto version =
        select_version_by_weight(routes->state->effective_weights(), *routes, random_);
    const auto* endpoint = node.selector.select(routes->endpoints, *version, {}, {});
    const bool is_new = *version == new_version;
    auto& load = load_[endpoint->node];
    const bool fault_active =
        is_new && seconds() >= scenario_.fault_at && load >= scenario_.fault_min_running;
    const bool overload = scenario_.overload_at && seconds() >= *scenario_.overload_at;
    const auto sound_rate =
        overload ? scenario_.overload_failure_rate : scenario_.base_failure_rate;
    const auto failure_rate =
        fault_active ? std::max(scenario_.fault_failure_rate, sound_rate) : sound_rate;
    std::uniform_real_distribution<double> length{0.5, 1.5};
    const std::chrono::duration<double, std::milli> run_time{scenario_.service_time_ms *
                                                             length(engine_)};
    ++load;
    node.loads.begin(endpoint->node);
    running_.push_back({&node, *endpoint, time_.now(),
                        time_.now() + std::chrono::duration_cast<duration>(run_time),
                        std::bernoulli_distribution{failure_rate}(engine_)});
    ++result_.calls;
    if (is_new) {
        ++result_.new_calls;
        new_servers_called_.insert(endpoint->node);
    }
}

void load_fault_simulation::end_calls()
{
    std::erase_if(running_, [this](const running_call& call) {
        if (call.ends > time_.now()) {
            return false;
        }
        const auto& id = call.endpoint.node;
        const gate_load reported{
            --load_[id], 0,
            std::chrono::microseconds{static_cast<std::int64_t>(scenario_.service_time_ms * 1000)}};
        call.node->loads.end(id);
        call.node->loads.report(id, reported, time_.now());
        constexpr int status_ok = 200;
        constexpr int status_internal_error = 500;
        call.node->recorder.on_attempt({plugboard, call.endpoint.version, route, id,
                                        call.endpoint.region, call_result::answered,
                                        call.fails ? status_internal_error : status_ok,
                                        time_.now() - call.started});
        return true;
    });
}

void load_fault_simulation::control()
{
    const auto evidence = reported_.extract(plugboard);
    if (service_.move->status == move_status::withdrawn) {
        return;
    }
    const auto decision = policy_.decide({service_, evidence, new_servers_, time_.calendar_now()});
    if (decision.action == rollout_action::hold) {
        return;
    }
    service_.weights = decision.weights;
    publish_at_ = seconds() + propagation_seconds;
    if (decision.action == rollout_action::finish) {
        service_.move->status = move_status::done;
        result_.done_at = publish_at_;
    }
    if (decision.action == rollout_action::withdraw) {
        service_.move->status = move_status::withdrawn;
        result_.withdrawn_at = publish_at_;
    }
    commit_service();
}

double load_fault_simulation::seconds() const
{
    return std::chrono::duration<double>{time_.now() - monotonic_time{}}.count();
}

/** True in one step of each evidence period, at the given part of the period. */
bool load_fault_simulation::due_each_period(double phase) const
{
    const std::chrono::duration<double> period = evidence_period(*service_.move);
    const auto since = seconds() / period.count() - phase;
    return since >= 0.0 &&
           since - static_cast<int>(since) < std::chrono::duration<double>{step} / period;
}

} // namespace savorywheel::test
