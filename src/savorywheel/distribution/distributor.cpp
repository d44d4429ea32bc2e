#include <savorywheel/distribution/commit_fetch_message.hpp>
#include <savorywheel/distribution/distribution_tree.hpp>
#include <savorywheel/distribution/distributor.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <utility>

namespace savorywheel {

namespace {

constexpr std::chrono::milliseconds fetch_timeout{1000};
constexpr std::chrono::milliseconds push_patience{100};
constexpr std::size_t heavy_answer_bytes = 65'536;
constexpr unsigned heavy_answer_burst = 8;
constexpr std::chrono::milliseconds heavy_answer_interval{100};

} // namespace

distributor::distributor(node_id self, failure_domain domain, environment surroundings)
    : self_{std::move(self)}, domain_{std::move(domain)}, environment_{std::move(surroundings)},
      heavy_answers_{environment_.loop.time(), heavy_answer_burst, heavy_answer_interval}
{
}

void distributor::take_from_store(const commit_batch_message& batch)
{
    take(self_, batch);
}

void distributor::take_quietly(const commit_batch_message& batch)
{
    take({}, batch);
}

void distributor::peer_has(const network_endpoint& peer, config_version head)
{
    if (head <= log_.state().version()) {
        return;
    }
    if (head >= wanted_ || !fetching_) {
        wanted_ = head;
        wanted_from_ = peer;
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
        environment_.random.below(static_cast<std::uint64_t>(push_patience.count()));
    fetch_timer_ = environment_.loop.timers().after(
        push_patience + std::chrono::milliseconds{jitter}, [this] { fetch(); });
}

void distributor::fetch()
{
    if (wanted_ <= log_.state().version()) {
        end_fetch();
        return;
    }
    const auto request = encode(commit_fetch_message{log_.state().version()});
    fetch_timer_ = environment_.loop.timers().after(fetch_timeout, [this] {
        environment_.requests.forget(fetch_);
        end_fetch();
    });
    fetch_ = environment_.requests.submit(
        environment_.network.connection_to(wanted_from_), frame_kind::commit_fetch, request,
        [this](request_client::answer answer) {
            environment_.loop.post([this, item = std::move(answer)] { on_fetched(item); });
        });
}

void distributor::end_fetch()
{
    fetching_ = false;
    fetch_timer_.reset();
}

void distributor::on_frame(const std::shared_ptr<frame_sink>& source, frame_kind kind,
                           std::uint64_t correlation, std::span<const std::byte> payload)
{
    if (kind == frame_kind::commit_push) {
        auto push = decode<commit_push_message>(payload);
        if (!push) {
            source->refuse(push.reason());
            return;
        }
        environment_.quota.post(payload.size(), [this, message = std::move(*push)] {
            take(message.root, message.batch);
        });
        return;
    }
    const auto fetch = decode<commit_fetch_message>(payload);
    if (!fetch) {
        source->refuse(fetch.reason());
        return;
    }
    environment_.quota.post(payload.size(), [this, source, correlation, after = fetch->after] {
        answer_fetch(source, correlation, after);
    });
}

void distributor::on_closed(const frame_sink& /*source*/, bool /*established*/) {}

void distributor::take(const node_id& root, const commit_batch_message& batch)
{
    const auto before = log_.state().version();
    const auto taken = log_.take(batch);
    if (taken.fault && taken.fault->code != failure_code::conflict) {
        environment_.listener.on_bad_commit(*taken.fault);
    }
    if (!taken.advanced) {
        return;
    }
    environment_.listener.on_configuration(log_.state());
    if (!root.empty()) {
        pass_on(root, log_.batch_after(before));
    }
}

void distributor::pass_on(const node_id& root, const commit_batch_message& batch)
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

void distributor::answer_fetch(const std::shared_ptr<frame_sink>& source, std::uint64_t correlation,
                               config_version after)
{
    if (after != encoded_after_ || log_.state().version() != encoded_head_ || encoded_.empty()) {
        encoded_ = encode(log_.batch_after(after));
        encoded_after_ = after;
        encoded_head_ = log_.state().version();
    }
    if (encoded_.size() > heavy_answer_bytes && !heavy_answers_.admit()) {
        source->send(frame_kind::commit_batch, correlation,
                     encode(commit_batch_message{std::nullopt, {}, true}));
        return;
    }
    source->send(frame_kind::commit_batch, correlation, encoded_);
}

void distributor::on_fetched(const request_client::answer& answer)
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
    take({}, *batch);
    if (log_.state().version() > before && wanted_ > log_.state().version()) {
        fetching_ = true;
        fetch();
    }
}

} // namespace savorywheel
