#include <savorywheel/node/table_publisher.hpp>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

constexpr std::chrono::milliseconds batching_delay{20};
constexpr std::chrono::milliseconds min_publish_interval{100};

} // namespace

table_publisher::table_publisher(environment env) : environment_{std::move(env)} {}

void table_publisher::on_configuration(const mesh_state& state)
{
    if (state.version() < environment_.tables.current()->version()) {
        return;
    }
    builder_.set_state(state);
    publish();
}

void table_publisher::on_members_changed()
{
    if (std::exchange(pending_, true)) {
        return;
    }
    const auto since_last = environment_.loop.time().now() - published_at_;
    const auto delay = std::max<duration>(batching_delay, min_publish_interval - since_last);
    timer_ = environment_.loop.timers().after(delay, [this] { publish(); });
}

void table_publisher::publish()
{
    pending_ = false;
    timer_.reset();
    published_at_ = environment_.loop.time().now();
    environment_.tables.publish(builder_.build(environment_.members()));
}

} // namespace savorywheel
