#include <savorywheel/node/backend_monitor.hpp>

#include <fmt/format.h>

#include <utility>

namespace savorywheel {

namespace {

constexpr std::chrono::milliseconds check_period{500};
/** Part of the timeout after which a backend server without an announcement may be replaced. */
constexpr int silence_divisor = 2;
/** Announcements within the time for which they are held back. */
constexpr std::size_t max_held = 16;

} // namespace

backend_monitor::backend_monitor(environment env, change_callback changed)
    : environment_{std::move(env)}, changed_{std::move(changed)}, order_{environment_.timeout /
                                                                         silence_divisor}
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

outcome<bool> backend_monitor::accept(const backend_announcement& announcement)
{
    if (const auto mismatch = environment_.placement.find_mismatch(announcement)) {
        return failure{failure_code::invalid_argument, *mismatch};
    }
    const auto now = environment_.loop.time().now();
    if (holds_) {
        if (held_.size() < max_held) {
            held_.push_back({announcement, now});
        }
        return true;
    }
    return apply(announcement, now);
}

outcome<bool> backend_monitor::apply(const backend_announcement& announcement,
                                     monotonic_time arrived)
{
    if (order_.record(announcement, arrived)) {
        announce(announcement.backend);
        return true;
    }
    if (order_.is_displaced(announcement)) {
        environment_.log.write(
            event_id::announcement_displaced,
            fmt::format("{}, start {}", announcement.backend.identity, announcement.started_at));
        return failure{failure_code::conflict, "another backend server is in use"};
    }
    return false;
}

void backend_monitor::deregister(std::string_view identity)
{
    const auto now = environment_.loop.time().calendar_now().time_since_epoch();
    const bool is_current = order_.leave(identity, static_cast<std::uint64_t>(now.count()));
    environment_.log.write(event_id::backend_deregistered, identity);
    if (is_current) {
        remove();
    }
}

void backend_monitor::release_unconfirmed()
{
    if (holds_) {
        order_.require_confirmation();
        apply_held();
    }
}

void backend_monitor::restore(std::span<const backend_departure> departures)
{
    order_.confirm();
    add_departures(departures);
    apply_held();
}

void backend_monitor::add_departures(std::span<const backend_departure> departures)
{
    if (order_.add_departures(departures)) {
        remove();
    }
}

void backend_monitor::apply_held()
{
    holds_ = false;
    for (const auto& item : std::exchange(held_, {})) {
        static_cast<void>(apply(item.announcement, item.arrived));
    }
}

void backend_monitor::remove()
{
    if (backend_) {
        backend_.reset();
        changed_(backend_);
    }
}

void backend_monitor::check_timeout()
{
    if (backend_ && environment_.loop.time().now() - announced_at_ > environment_.timeout) {
        environment_.log.write(event_id::backend_lost, backend_->service.str());
        remove();
    }
}

} // namespace savorywheel
