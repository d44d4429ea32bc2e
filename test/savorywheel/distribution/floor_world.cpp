#include "floor_world.hpp"

#include <algorithm>
#include <utility>

namespace savorywheel::test {

namespace {

using std::chrono_literals::operator""ms;

constexpr auto step = 50ms;
constexpr auto quiet_time = 8000ms;

member_record record_of(std::size_t index, std::uint64_t incarnation)
{
    member_record record;
    record.id = node_id{"n" + std::to_string(index)};
    record.domain = failure_domain{"d" + std::to_string(index / 2)};
    record.incarnation = incarnation;
    return record;
}

} // namespace

struct floor_world::member final : floor_transport, floor_listener {
    member(floor_world& where, std::size_t number, std::uint64_t born)
        : world{where}, index{number}, self{record_of(number, born)}
    {
        for (std::size_t i = 0; i < node_count; ++i) {
            members.merge({record_of(i, i == number ? born : 1), member_status::alive}, {});
        }
    }

    void put_floor(const member_record& buddy, const floor_message& floor) override
    {
        world.send(number_of(buddy), [this_index = index, floor, &w = world](member& receiver) {
            receiver.floors.put(floor.node, floor.version);
            receiver.learn(floor.version);
            w.send(this_index, [id = receiver.self.id, floor](member& asker) {
                asker.keeper.on_stored(id, floor.version);
            });
        });
    }

    void get_floor(const member_record& buddy, const node_id& owner) override
    {
        world.send(number_of(buddy), [this_index = index, owner, &w = world](member& receiver) {
            const floor_message value{owner, receiver.floors.find(owner), receiver.keeper.settled(),
                                      node_count};
            w.send(this_index, [id = receiver.self.id, value](member& asker) {
                asker.keeper.on_value(id, value);
            });
        });
    }

    void read_store_head() override
    {
        if (world.store_up_) {
            learn(world.head_);
            keeper.on_store_head(world.head_);
        }
    }

    void on_floor_settled(config_version /*floor*/) override {}
    void on_version_usable(config_version version) override
    {
        world.history_.record(self.id.str(), version);
    }
    void on_floor_delayed(config_version /*version*/) override {}
    void on_floor_skipped(config_version /*version*/) override {}

    void learn(config_version version)
    {
        known = std::max(known, version);
        keeper.on_log_version(known);
    }

    static std::size_t number_of(const member_record& record)
    {
        return std::stoul(record.id.str().substr(1));
    }

    floor_world& world;
    std::size_t index;
    member_record self;
    member_table members;
    config_version known;
    floor_table floors;
    bool paused{};
    floor_keeper keeper{
        false, floor_keeper::environment{world.clock_, world.timers_, world.random_, *this, *this,
                                         [this]() -> const member_table& { return members; },
                                         [this]() -> const member_record& { return self; }}};
};

floor_world::floor_world()
{
    for (std::size_t i = 0; i < node_count; ++i) {
        nodes_.push_back(std::make_unique<member>(*this, i, 1));
        nodes_.back()->keeper.start();
    }
    settle_down();
}

floor_world::~floor_world() = default;

void floor_world::commit(std::size_t node)
{
    head_ = head_.next();
    nodes_.at(node)->learn(head_);
}

void floor_world::spread(std::size_t from, std::size_t to)
{
    if (!nodes_.at(to)->paused && !nodes_.at(from)->paused) {
        nodes_.at(to)->learn(nodes_.at(from)->known);
    }
}

void floor_world::deliver(std::size_t choice, bool lost, bool doubled)
{
    if (network_.empty()) {
        return;
    }
    const auto place = network_.begin() + static_cast<std::ptrdiff_t>(choice % network_.size());
    const auto item = *place;
    if (nodes_.at(item.receiver)->paused) {
        return;
    }
    if (!doubled) {
        network_.erase(place);
    }
    if (!lost) {
        item.arrive();
    }
}

void floor_world::pass(duration time)
{
    for (duration passed{}; passed < time; passed += step) {
        clock_.advance(step);
        timers_.run_due();
    }
}

void floor_world::settle_down()
{
    for (duration passed{}; passed < quiet_time; passed += step) {
        pass(step);
        auto arrived = std::exchange(network_, {});
        for (auto& item : arrived) {
            if (nodes_.at(item.receiver)->paused) {
                network_.push_back(std::move(item));
                continue;
            }
            item.arrive();
        }
    }
}

void floor_world::pause(std::size_t node, bool paused)
{
    nodes_.at(node)->paused = paused;
}

void floor_world::restart(std::size_t index)
{
    const auto born = nodes_.at(index)->self.incarnation + 1;
    std::erase_if(network_, [index](const auto& item) { return item.receiver == index; });
    nodes_.at(index) = std::make_unique<member>(*this, index, born);
    for (auto& other : nodes_) {
        other->members.merge({record_of(index, born), member_status::alive}, {});
    }
    nodes_.at(index)->keeper.start();
}

config_version floor_world::used(std::size_t index) const
{
    return nodes_.at(index)->keeper.usable();
}

void floor_world::send(std::size_t receiver, std::function<void(member&)> arrive)
{
    network_.push_back(
        {receiver, [this, receiver, work = std::move(arrive)] { work(*nodes_.at(receiver)); }});
}

} // namespace savorywheel::test
