#include <savorywheel/node/backend_monitor.hpp>

#include <fmt/format.h>

#include <utility>

namespace savorywheel {

namespace {

constexpr std::chrono::milliseconds check_period{500};

} // namespace

backend_monitor::backend_monitor(environment surroundings, change_callback changed)
    : environment_{surroundings}, changed_{std::move(changed)}
{
}

void backend_monitor::start()
{
    timer_ = environment_.loop.timers().every(check_period, [this] { check(); });
}

void backend_monitor::stop()
{
    stopped_ = true;
    timer_.reset();
}

void backend_monitor::announce(const backend_server& backend)
{
    seen_at_ = environment_.loop.time().now();
    if (stopped_ || backend_ == backend) {
        return;
    }
    environment_.log.write(event_id::backend_announced,
                           fmt::format("{} {} {}", backend.service.str(), backend.version.str(),
                                       to_string(backend.state)));
    backend_ = backend;
    changed_(backend_);
}

bool backend_monitor::take(const backend_announcement& announcement)
{
    if (is_late(announcement)) {
        return false;
    }
    latest_ = announcement;
    latest_left_ = false;
    announce(announcement.backend);
    return true;
}

bool backend_monitor::is_late(const backend_announcement& announcement) const
{
    if (!latest_) {
        return false;
    }
    const auto& known = *latest_;
    const bool same_start = announcement.started_at == known.started_at &&
                            announcement.backend.identity == known.backend.identity;
    if (same_start) {
        return latest_left_ || announcement.sequence <= known.sequence;
    }
    return announcement.started_at < known.started_at;
}

void backend_monitor::withdraw(std::string_view identity)
{
    if (!latest_ || latest_->backend.identity != identity) {
        return;
    }
    latest_left_ = true;
    if (backend_) {
        environment_.log.write(event_id::backend_left, identity);
        backend_.reset();
        changed_(backend_);
    }
}

void backend_monitor::check()
{
    if (backend_ && environment_.loop.time().now() - seen_at_ > environment_.lifetime) {
        environment_.log.write(event_id::backend_lost, backend_->service.str());
        backend_.reset();
        changed_(backend_);
    }
}

} // namespace savorywheel
