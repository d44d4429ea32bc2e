#include <savorywheel/transport/peer_connection.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

using boost::system::error_code;
using std::chrono::steady_clock;

constexpr std::chrono::milliseconds heartbeat_period{500};
constexpr std::chrono::milliseconds receive_timeout{1500};
constexpr std::chrono::milliseconds handshake_timeout{1000};
constexpr std::chrono::seconds idle_timeout{10};
constexpr std::chrono::seconds accepted_idle_timeout{30};

} // namespace

void peer_connection::when_open(const open_callback& done)
{
    {
        const std::scoped_lock lock{mutex_};
        if (!open_ && !closed_) {
            open_callbacks_.push_back(done);
            return;
        }
    }
    done(!closed_);
}

std::optional<peer_time> peer_connection::to_clock_of_peer(monotonic_time deadline)
{
    const std::scoped_lock lock{mutex_};
    return open_ && !closed_ ? peer_clock_.convert(deadline) : std::nullopt;
}

void peer_connection::notify_open(bool open)
{
    std::vector<open_callback> callbacks;
    {
        const std::scoped_lock lock{mutex_};
        callbacks.swap(open_callbacks_);
    }
    for (const auto& done : callbacks) {
        done(open);
    }
}

void peer_connection::on_heartbeat(std::uint64_t sent)
{
    {
        const std::scoped_lock lock{mutex_};
        peer_clock_.observe(peer_time{static_cast<peer_time::rep>(sent)}, last_received_);
    }
    if (!established_) {
        established_ = true;
        mark_open();
        write_next();
    }
}

void peer_connection::schedule_liveness_check()
{
    timer_.expires_after(heartbeat_period);
    timer_.async_wait([self = shared_from_this()](const error_code& error) {
        if (error || self->finished_) {
            return;
        }
        self->check_liveness(steady_clock::now());
    });
}

void peer_connection::check_liveness(monotonic_time now)
{
    bool has_pending_request{};
    duration idle{};
    duration since_sent{};
    {
        const std::scoped_lock lock{mutex_};
        since_sent = now - last_sent_;
        has_pending_request = exchanges_.has_pending_request();
        idle = now - std::max(exchanges_.last_activity(), created_at_);
    }
    if (closing_since_ && (!established_ || now - *closing_since_ > receive_timeout)) {
        finish();
        return;
    }
    const auto since_received = now - last_received_;
    const bool active = has_pending_request || idle < idle_timeout;
    if ((!established_ && now - created_at_ > handshake_timeout) ||
        (active && since_received > receive_timeout) ||
        (!has_pending_request && idle > (is_initiator_ ? idle_timeout : accepted_idle_timeout))) {
        finish();
        return;
    }
    if (active && established_ && since_sent >= heartbeat_period) {
        send_heartbeat();
    }
    schedule_liveness_check();
}

void peer_connection::send_heartbeat()
{
    const auto now = to_peer_time(steady_clock::now());
    send(frame_kind::heartbeat, static_cast<std::uint64_t>(now.count()), {});
}

} // namespace savorywheel
