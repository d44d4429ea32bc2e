#include <savorywheel/distribution/commit_fetch_message.hpp>
#include <savorywheel/distribution/distribution_tree.hpp>
#include <savorywheel/distribution/distributor.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <utility>

namespace savorywheel {

namespace {

constexpr std::chrono::milliseconds fetch_timeout{1000};
constexpr std::chrono::milliseconds push_grace_period{100};
constexpr std::size_t large_response_bytes = 65'536;
constexpr unsigned large_response_burst = 8;
constexpr std::chrono::milliseconds large_response_interval{100};

} // namespace

distributor::distributor(node_id self, failure_domain domain, environment env)
    : self_{std::move(self)}, domain_{std::move(domain)}, environment_{std::move(env)},
      large_response_limiter_{environment_.loop.time(), large_response_burst,
                              large_response_interval}
{
}

void distributor::apply_and_forward(const commit_batch_message& batch)
{
    apply(self_, batch);
}

void distributor::apply_without_forwarding(const commit_batch_message& batch)
{
    apply({}, batch);
}

void distributor::on_peer_version(const network_endpoint& peer, config_version head)
{
    if (head <= log_.state().version()) {
        return;
    }
    if (head >= fetch_target_ || !fetching_) {
        fetch_target_ = head;
        fetch_peer_ = peer;
    }
    if (fetching_) {
        return;
    }
    fetching_ = true;
    // A push is probably in flight; wait for it, except on a node that has just started.
    if (log_.state().version() == config_version{}) {
        fetch();
        return;
    }
    const auto jitter =
        environment_.random.below(static_cast<std::uint64_t>(push_grace_period.count()));
    fetch_timer_ = environment_.loop.timers().after(
        push_grace_period + std::chrono::milliseconds{jitter}, [this] { fetch(); });
}

void distributor::fetch()
{
    if (fetch_target_ <= log_.state().version()) {
        end_fetch();
        return;
    }
    const auto request = encode(commit_fetch_message{log_.state().version()});
    fetch_timer_ = environment_.loop.timers().after(fetch_timeout, [this] {
        environment_.requests.discard(fetch_request_);
        end_fetch();
    });
    fetch_request_ = environment_.requests.submit(
        environment_.network.connection_to(fetch_peer_), frame_kind::commit_fetch, request,
        [this](request_client::response answer) {
            environment_.loop.post([this, item = std::move(answer)] { on_fetch_response(item); });
        });
}

void distributor::end_fetch()
{
    fetching_ = false;
    fetch_timer_.reset();
}

void distributor::on_frame(const std::shared_ptr<frame_sink>& connection, frame_kind kind,
                           std::uint64_t correlation, std::span<const std::byte> payload)
{
    if (kind == frame_kind::commit_push) {
        auto push = decode<commit_push_message>(payload);
        if (!push) {
            connection->close_malformed(push.reason());
            return;
        }
        environment_.quota.post(payload.size(), [this, message = std::move(*push)] {
            apply(message.root, message.batch);
        });
        return;
    }
    const auto fetch = decode<commit_fetch_message>(payload);
    if (!fetch) {
        connection->close_malformed(fetch.reason());
        return;
    }
    environment_.quota.post(payload.size(), [this, connection, correlation, after = fetch->after] {
        respond_to_fetch(connection, correlation, after);
    });
}

void distributor::on_closed(const frame_sink& /*connection*/, bool /*established*/) {}

void distributor::apply(const node_id& root, const commit_batch_message& batch)
{
    const auto before = log_.state().version();
    const auto result = log_.apply(batch);
    if (result.fault && result.fault->code != failure_code::conflict) {
        environment_.listener.on_bad_commit(*result.fault);
    }
    if (!result.advanced) {
        return;
    }
    environment_.listener.on_configuration(log_.state());
    if (!root.empty()) {
        forward(root, log_.batch_after(before));
    }
}

void distributor::forward(const node_id& root, const commit_batch_message& batch)
{
    std::vector<node_id> members;
    const auto& table = environment_.members();
    for (const auto* item : table.live()) {
        if (item->update.record.domain == domain_) {
            members.push_back(item->update.record.id);
        }
    }
    const auto children = tree_children(root, self_, members);
    if (children.empty()) {
        return;
    }
    const auto payload = encode(commit_push_message{root, batch});
    for (const auto& child : children) {
        const auto& peer = table.find(child)->update.record.peer;
        environment_.network.connection_to(peer)->send(frame_kind::commit_push, 0, payload);
    }
}

void distributor::respond_to_fetch(const std::shared_ptr<frame_sink>& connection,
                                   std::uint64_t correlation, config_version after)
{
    if (after != cached_after_ || log_.state().version() != cached_version_ ||
        cached_response_.empty()) {
        cached_response_ = encode(log_.batch_after(after));
        cached_after_ = after;
        cached_version_ = log_.state().version();
    }
    if (cached_response_.size() > large_response_bytes && !large_response_limiter_.admit()) {
        connection->send(frame_kind::commit_batch, correlation,
                         encode(commit_batch_message{std::nullopt, {}, true}));
        return;
    }
    connection->send(frame_kind::commit_batch, correlation, cached_response_);
}

void distributor::on_fetch_response(const request_client::response& answer)
{
    if (!fetching_) {
        return;
    }
    end_fetch();
    if (!answer) {
        return;
    }
    const auto batch = decode<commit_batch_message>(*answer);
    if (!batch || batch->refused) {
        return;
    }
    const auto before = log_.state().version();
    apply({}, *batch);
    if (log_.state().version() > before && fetch_target_ > log_.state().version()) {
        fetching_ = true;
        fetch();
    }
}

} // namespace savorywheel
