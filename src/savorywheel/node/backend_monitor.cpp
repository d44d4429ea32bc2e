#include <savorywheel/node/backend_monitor.hpp>

#include <fmt/format.h>

#include <utility>

namespace savorywheel {

namespace {

constexpr std::chrono::milliseconds check_period{500};
/** Part of the timeout after which a backend server without an announcement may be replaced. */
constexpr int silence_divisor = 2;

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
    if (order_.record(announcement, environment_.loop.time().now())) {
        announce(announcement.backend);
        return true;
    }
    if (order_.is_displaced(announcement) && announcement.backend.state != server_state::draining) {
        return failure{failure_code::conflict, "another backend server is in use"};
    }
    return false;
}

void backend_monitor::deregister(std::string_view identity)
{
    const auto now = environment_.loop.time().calendar_now().time_since_epoch();
    const bool is_current = order_.leave(identity, static_cast<std::uint64_t>(now.count()));
    environment_.log.write(event_id::backend_deregistered, identity);
    if (is_current && backend_) {
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
