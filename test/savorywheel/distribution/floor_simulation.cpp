#include "floor_simulation.hpp"

#include <algorithm>
#include <utility>

namespace savorywheel::test {

namespace {

using std::chrono_literals::operator""ms;

constexpr auto step = 50ms;
constexpr auto settle_duration = 8000ms;

member_record record_of(std::size_t index, std::uint64_t incarnation)
{
    member_record record;
    record.id = node_id{"n" + std::to_string(index)};
    record.domain = failure_domain{"d" + std::to_string(index / 2)};
    record.incarnation = incarnation;
    return record;
}

} // namespace

struct floor_simulation::simulated_node final : floor_transport, floor_listener {
    simulated_node(floor_simulation& parent, std::size_t number, std::uint64_t new_incarnation)
        : simulation{parent}, index{number}, self{record_of(number, new_incarnation)}
    {
        for (std::size_t i = 0; i < node_count; ++i) {
            members.merge({record_of(i, i == number ? new_incarnation : 1), member_status::alive},
                          {});
        }
    }

    void put_floor(const member_record& replica, const floor_message& floor) override
    {
        simulation.send(index_of(replica), [this_index = index, floor,
                                            &w = simulation](simulated_node& receiver) {
            receiver.floors.put(floor.node, floor.version);
            receiver.observe_version(floor.version);
            w.send(this_index, [id = receiver.self.id, floor](simulated_node& requester) {
                requester.coordinator.on_floor_stored(id, floor.version);
            });
        });
    }

    void get_floor(const member_record& replica, const node_id& owner) override
    {
        simulation.send(index_of(replica), [this_index = index, owner,
                                            &w = simulation](simulated_node& receiver) {
            const floor_message value{owner, receiver.floors.find(owner),
                                      receiver.coordinator.floor_known(), node_count};
            w.send(this_index, [id = receiver.self.id, value](simulated_node& requester) {
                requester.coordinator.on_floor_value(id, value);
            });
        });
    }

    void read_store_head() override
    {
        if (simulation.store_available_) {
            observe_version(simulation.head_);
            coordinator.on_store_head(simulation.head_);
        }
    }

    void on_floor_known(config_version /*floor*/) override {}
    void on_version_usable(config_version version) override
    {
        simulation.history_.record(self.id.str(), version);
    }
    void on_floor_delayed(config_version /*version*/) override {}
    void on_floor_skipped(config_version /*version*/) override {}

    void observe_version(config_version version)
    {
        observed = std::max(observed, version);
        coordinator.on_log_version(observed);
    }

    static std::size_t index_of(const member_record& record)
    {
        return std::stoul(record.id.str().substr(1));
    }

    floor_simulation& simulation;
    std::size_t index;
    member_record self;
    member_table members;
    config_version observed;
    floor_table floors;
    bool paused{};
    floor_coordinator coordinator{
        false, floor_coordinator::environment{simulation.clock_, simulation.timers_,
                                              simulation.random_, *this, *this,
                                              [this]() -> const member_table& { return members; },
                                              [this]() -> const member_record& { return self; }}};
};

floor_simulation::floor_simulation()
{
    for (std::size_t i = 0; i < node_count; ++i) {
        nodes_.push_back(std::make_unique<simulated_node>(*this, i, 1));
        nodes_.back()->coordinator.start();
    }
    run_until_quiet();
}

floor_simulation::~floor_simulation() = default;

void floor_simulation::commit(std::size_t node)
{
    head_ = head_.next();
    nodes_.at(node)->observe_version(head_);
}

void floor_simulation::propagate(std::size_t from, std::size_t to)
{
    if (!nodes_.at(to)->paused && !nodes_.at(from)->paused) {
        nodes_.at(to)->observe_version(nodes_.at(from)->observed);
    }
}

void floor_simulation::deliver(std::size_t choice, bool lost, bool duplicated)
{
    if (in_flight_.empty()) {
        return;
    }
    const auto place = in_flight_.begin() + static_cast<std::ptrdiff_t>(choice % in_flight_.size());
    const auto item = *place;
    if (nodes_.at(item.receiver)->paused) {
        return;
    }
    if (!duplicated) {
        in_flight_.erase(place);
    }
    if (!lost) {
        item.on_delivery();
    }
}

void floor_simulation::advance_time(duration time)
{
    for (duration elapsed{}; elapsed < time; elapsed += step) {
        clock_.advance(step);
        timers_.run_due();
    }
}

void floor_simulation::run_until_quiet()
{
    for (duration elapsed{}; elapsed < settle_duration; elapsed += step) {
        advance_time(step);
        auto delivered = std::exchange(in_flight_, {});
        for (auto& item : delivered) {
            if (nodes_.at(item.receiver)->paused) {
                in_flight_.push_back(std::move(item));
                continue;
            }
            item.on_delivery();
        }
    }
}

void floor_simulation::pause(std::size_t node, bool paused)
{
    nodes_.at(node)->paused = paused;
}

void floor_simulation::restart(std::size_t index)
{
    const auto new_incarnation = nodes_.at(index)->self.incarnation + 1;
    std::erase_if(in_flight_, [index](const auto& item) { return item.receiver == index; });
    nodes_.at(index) = std::make_unique<simulated_node>(*this, index, new_incarnation);
    for (auto& other : nodes_) {
        other->members.merge({record_of(index, new_incarnation), member_status::alive}, {});
    }
    nodes_.at(index)->coordinator.start();
}

config_version floor_simulation::usable_version(std::size_t index) const
{
    return nodes_.at(index)->coordinator.usable();
}

void floor_simulation::send(std::size_t receiver, std::function<void(simulated_node&)> on_delivery)
{
    in_flight_.push_back({receiver, [this, receiver, work = std::move(on_delivery)] {
                              work(*nodes_.at(receiver));
                          }});
}

} // namespace savorywheel::test
