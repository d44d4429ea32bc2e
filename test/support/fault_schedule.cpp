#include <support/fault_schedule.hpp>

#include <array>
#include <csignal>

namespace savorywheel::test {

namespace {

constexpr std::size_t max_nodes_down = 2;

} // namespace

void fault_schedule::step()
{
    constexpr std::uint64_t kinds = 4;
    switch (random_.below(kinds)) {
    case 0:
        kill_or_start_node();
        break;
    case 1:
        pause_or_continue_node();
        break;
    case 2:
        kill_or_start_backend();
        break;
    default:
        change_platform_fault();
    }
}

void fault_schedule::end_all_faults()
{
    mesh_.set_platform_fault("down=0&lost_answers=0&delay_ms=0");
    for (const auto index : paused_nodes_) {
        mesh_.node(index).signal(SIGCONT);
    }
    for (const auto index : killed_nodes_) {
        mesh_.start_node(index);
    }
    for (const auto index : killed_backends_) {
        mesh_.start_backend(index);
    }
    paused_nodes_.clear();
    killed_nodes_.clear();
    killed_backends_.clear();
}

void fault_schedule::kill_or_start_node()
{
    const auto index = random_.below(mesh_.size());
    if (killed_nodes_.erase(index) > 0) {
        mesh_.start_node(index);
        return;
    }
    if (killed_nodes_.size() + paused_nodes_.size() < max_nodes_down &&
        !paused_nodes_.contains(index)) {
        mesh_.node(index).signal(SIGKILL);
        static_cast<void>(mesh_.node(index).wait());
        killed_nodes_.insert(index);
    }
}

void fault_schedule::pause_or_continue_node()
{
    const auto index = random_.below(mesh_.size());
    if (paused_nodes_.erase(index) > 0) {
        mesh_.node(index).signal(SIGCONT);
        return;
    }
    if (killed_nodes_.size() + paused_nodes_.size() < max_nodes_down &&
        !killed_nodes_.contains(index)) {
        mesh_.node(index).signal(SIGSTOP);
        paused_nodes_.insert(index);
    }
}

void fault_schedule::kill_or_start_backend()
{
    const auto index = random_.below(mesh_.size());
    if (killed_backends_.erase(index) > 0) {
        mesh_.start_backend(index);
        return;
    }
    if (killed_backends_.empty()) {
        mesh_.backend(index).signal(SIGKILL);
        static_cast<void>(mesh_.backend(index).wait());
        killed_backends_.insert(index);
    }
}

void fault_schedule::change_platform_fault()
{
    static constexpr std::array faults{"down=1", "down=0&lost_answers=1", "down=0&delay_ms=300",
                                       "down=0&lost_answers=0&delay_ms=0"};
    mesh_.set_platform_fault(faults[random_.below(faults.size())]);
}

} // namespace savorywheel::test
