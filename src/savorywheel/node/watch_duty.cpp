#include <savorywheel/node/watch_duty.hpp>

#include <fmt/format.h>

namespace savorywheel {

namespace {

/**
 * Time from a change of the members to the decision. Nodes that start together learn of each other
 * within it, and would all watch before; the checks of check_schedule find changes meanwhile.
 */
constexpr std::chrono::milliseconds settling_time{1500};

} // namespace

void watch_duty::start()
{
    running_ = true;
    if (environment_.every_node) {
        environment_.changed({watch_role::everyone, 0});
        return;
    }
    on_members_changed();
}

void watch_duty::stop()
{
    running_ = false;
    pending_ = false;
    timer_.reset();
}

void watch_duty::on_members_changed()
{
    if (running_ && !environment_.every_node && !std::exchange(pending_, true)) {
        timer_ = environment_.loop.timers().after(settling_time, [this] { decide(); });
    }
}

void watch_duty::decide()
{
    pending_ = false;
    const auto& table = environment_.members.table();
    const auto choice = choose_watchers(environment_.members.self(), table);
    if (choice_ == choice) {
        return;
    }
    const bool watched = choice_ && watches(choice_->role);
    choice_ = choice;
    if (watched != watches(choice.role)) {
        environment_.log.write(watched ? event_id::documents_not_watched
                                       : event_id::documents_watched,
                               fmt::format("{} live members", table.live().size()));
    }
    environment_.changed(choice);
}

} // namespace savorywheel
