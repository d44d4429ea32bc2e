#include <savorywheel/distribution/watch_schedule.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

using std::chrono::milliseconds;

/** Two turns fit into the 2.5 s within which a change must be in force. */
constexpr milliseconds turn_period{1000};
/** A turn that is closer has just been taken. */
constexpr milliseconds min_wait{500};
/** The store ends a watch after 30 s. */
constexpr milliseconds max_wait{25'000};

} // namespace

void watch_schedule::set_place(std::size_t rank, std::size_t nodes)
{
    const std::scoped_lock lock{mutex_};
    rank_ = rank;
    nodes_ = std::max<std::size_t>(nodes, 1);
}

milliseconds watch_schedule::next_wait() const
{
    const std::scoped_lock lock{mutex_};
    const auto round = turn_period * static_cast<milliseconds::rep>(nodes_);
    const auto turn = turn_period * static_cast<milliseconds::rep>(rank_);
    const auto now =
        std::chrono::duration_cast<milliseconds>(time_.calendar_now().time_since_epoch());
    auto wait = (turn - now % round + round) % round;
    if (wait < min_wait) {
        wait += round;
    }
    return std::min(wait, max_wait);
}

} // namespace savorywheel
