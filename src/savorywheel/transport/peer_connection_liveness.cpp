#include <savorywheel/transport/peer_connection.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

using boost::system::error_code;
using std::chrono::steady_clock;

constexpr std::chrono::milliseconds heartbeat_period{500};
constexpr std::chrono::milliseconds silence_limit{1500};
constexpr std::chrono::milliseconds open_limit{1000};
constexpr std::chrono::seconds idle_limit{10};
constexpr std::chrono::seconds accepted_idle_limit{30};

} // namespace

std::optional<peer_time> peer_connection::await_open(monotonic_time deadline,
                                                     monotonic_time patience)
{
    std::unique_lock lock{mutex_};
    opened_.wait_until(lock, patience, [this] { return open_ || closed_; });
    if (!open_ || closed_) {
        return std::nullopt;
    }
    return peer_clock_.convert(deadline);
}

void peer_connection::on_heartbeat(std::uint64_t sent)
{
    {
        const std::scoped_lock lock{mutex_};
        peer_clock_.observe(peer_time{static_cast<peer_time::rep>(sent)}, last_received_);
    }
    if (!established_) {
        established_ = true;
        open();
        write_next();
    }
}

void peer_connection::watch_silence()
{
    timer_.expires_after(heartbeat_period);
    timer_.async_wait([self = shared_from_this()](const error_code& error) {
        if (error || self->finished_) {
            return;
        }
        self->check_silence(steady_clock::now());
    });
}

void peer_connection::check_silence(monotonic_time now)
{
    bool unanswered{};
    duration idle{};
    duration unsent{};
    {
        const std::scoped_lock lock{mutex_};
        unsent = now - last_sent_;
        unanswered = exchanges_.unanswered();
        idle = now - std::max(exchanges_.last_used(), started_);
    }
    if (closing_since_ && (!established_ || now - *closing_since_ > silence_limit)) {
        finish();
        return;
    }
    const auto silent = now - last_received_;
    const bool active = unanswered || idle < idle_limit;
    if ((!established_ && now - started_ > open_limit) || (active && silent > silence_limit) ||
        (!unanswered && idle > (opener_ ? idle_limit : accepted_idle_limit))) {
        finish();
        return;
    }
    if (active && established_ && unsent >= heartbeat_period) {
        send_heartbeat();
    }
    watch_silence();
}

void peer_connection::send_heartbeat()
{
    const auto now = to_peer_time(steady_clock::now());
    send(frame_kind::heartbeat, static_cast<std::uint64_t>(now.count()), {});
}

} // namespace savorywheel
