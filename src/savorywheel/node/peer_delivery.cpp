#include <savorywheel/node/peer_delivery.hpp>

#include <chrono>
#include <utility>

namespace savorywheel {

namespace {

constexpr std::chrono::milliseconds retry_delay{500};
/** With the delay, longer than it takes to find a member dead. */
constexpr int max_attempts = 10;
constexpr std::size_t max_pending = 1024;

} // namespace

void peer_delivery::send(const network_endpoint& peer, frame_kind kind,
                         std::vector<std::byte> payload, callback acknowledged)
{
    if (pending_.size() >= max_pending) {
        pending_.erase(pending_.begin());
    }
    const auto id = ++last_id_;
    pending_.emplace(
        id, message{peer, kind, std::move(payload), std::move(acknowledged), 0, subscription{}});
    attempt(id);
}

void peer_delivery::attempt(std::uint64_t id)
{
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
        return;
    }
    auto& item = found->second;
    ++item.attempts;
    // The callback may run before submit() returns, so it must not change the pending messages.
    environment_.requests.submit(
        environment_.network.connection_to(item.peer), item.kind, item.payload,
        [this, id](const request_client::response& answer) {
            environment_.loop.post(
                [this, id, acknowledged = bool{answer}] { on_response(id, acknowledged); });
        });
}

void peer_delivery::on_response(std::uint64_t id, bool acknowledged)
{
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
        return;
    }
    if (acknowledged) {
        const auto done = std::move(found->second.acknowledged);
        pending_.erase(found);
        done();
        return;
    }
    if (found->second.attempts >= max_attempts) {
        pending_.erase(found);
        return;
    }
    found->second.retry_timer =
        environment_.loop.timers().after(retry_delay, [this, id] { attempt(id); });
}

} // namespace savorywheel
