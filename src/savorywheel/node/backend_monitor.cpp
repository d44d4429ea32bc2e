#include <savorywheel/node/backend_monitor.hpp>

#include <fmt/format.h>

#include <utility>

namespace savorywheel {

namespace {

constexpr std::chrono::milliseconds check_period{500};
/** A VM runs one backend server at a time, so few deregister while announcements are in flight. */
constexpr std::size_t max_departed = 64;

} // namespace

backend_monitor::backend_monitor(environment env, change_callback changed)
    : environment_{env}, changed_{std::move(changed)}
{
}

void backend_monitor::start()
{
    timer_ = environment_.loop.timers().every(check_period, [this] { check_timeout(); });
}

void backend_monitor::stop()
{
    stopped_ = true;
    timer_.reset();
}

void backend_monitor::announce(const backend_server& backend)
{
    announced_at_ = environment_.loop.time().now();
    if (stopped_ || backend_ == backend) {
        return;
    }
    environment_.log.write(event_id::backend_announced,
                           fmt::format("{} {} {}", backend.service.str(), backend.version.str(),
                                       to_string(backend.state)));
    backend_ = backend;
    changed_(backend_);
}

bool backend_monitor::accept(const backend_announcement& announcement)
{
    if (is_stale(announcement)) {
        return false;
    }
    latest_ = announcement;
    announce(announcement.backend);
    return true;
}

bool backend_monitor::is_stale(const backend_announcement& announcement) const
{
    const auto departed = departed_.find(announcement.backend.identity);
    if (departed != departed_.end() && announcement.started_at <= departed->second) {
        return true;
    }
    if (!latest_) {
        return false;
    }
    const auto& known = *latest_;
    if (announcement.started_at == known.started_at &&
        announcement.backend.identity == known.backend.identity) {
        return announcement.sequence <= known.sequence;
    }
    return announcement.started_at < known.started_at;
}

void backend_monitor::deregister(std::string_view identity)
{
    const bool known = latest_ && latest_->backend.identity == identity;
    if (departed_.size() >= max_departed) {
        departed_.clear();
    }
    // After a restart of the node, the deregistration may arrive before any announcement. The
    // backend server runs on the same VM, so its start times are comparable with this clock.
    const auto now = environment_.loop.time().calendar_now().time_since_epoch();
    departed_.insert_or_assign(std::string{identity},
                               known ? latest_->started_at
                                     : static_cast<std::uint64_t>(now.count()));
    environment_.log.write(event_id::backend_deregistered, identity);
    if (known && backend_) {
        backend_.reset();
        changed_(backend_);
    }
}

void backend_monitor::check_timeout()
{
    if (backend_ && environment_.loop.time().now() - announced_at_ > environment_.timeout) {
        environment_.log.write(event_id::backend_lost, backend_->service.str());
        backend_.reset();
        changed_(backend_);
    }
}

} // namespace savorywheel
