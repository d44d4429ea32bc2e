#include <savorywheel/distribution/commit_fetch_message.hpp>
#include <savorywheel/distribution/distribution_tree.hpp>
#include <savorywheel/distribution/distributor.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <utility>

namespace savorywheel {

namespace {

constexpr std::chrono::milliseconds fetch_timeout{1000};

} // namespace

distributor::distributor(node_id self, failure_domain domain, environment surroundings)
    : self_{std::move(self)}, domain_{std::move(domain)}, environment_{std::move(surroundings)}
{
}

void distributor::take_from_store(std::vector<commit> commits)
{
    take(self_, {std::nullopt, std::move(commits)});
}

void distributor::peer_has(const network_endpoint& peer, config_version head)
{
    if (fetching_ || head <= log_.state().version()) {
        return;
    }
    fetching_ = true;
    const auto request = encode(commit_fetch_message{log_.state().version()});
    fetch_ = environment_.requests.submit(
        environment_.network.connection_to(peer), frame_kind::commit_fetch, request,
        [this](request_client::answer answer) {
            environment_.loop.post([this, answer = std::move(answer)] { on_fetched(answer); });
        });
    fetch_timer_ = environment_.loop.timers().after(fetch_timeout, [this] {
        environment_.requests.forget(fetch_);
        fetching_ = false;
    });
}

void distributor::on_frame(const std::shared_ptr<frame_sink>& source, frame_kind kind,
                           std::uint64_t correlation, std::span<const std::byte> payload)
{
    if (kind == frame_kind::commit_push) {
        if (auto push = decode<commit_push_message>(payload)) {
            environment_.loop.post(
                [this, message = std::move(*push)] { take(message.root, message.batch); });
        }
        return;
    }
    if (const auto fetch = decode<commit_fetch_message>(payload)) {
        environment_.loop.post([this, source, correlation, after = fetch->after] {
            answer_fetch(source, correlation, after);
        });
    }
}

void distributor::on_closed(const frame_sink& /*source*/, bool /*established*/) {}

void distributor::take(const node_id& root, const commit_batch_message& batch)
{
    const auto before = log_.state().version();
    const auto taken = log_.take(batch);
    if (!taken || !*taken) {
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
    for (const auto& [id, item] : table.entries()) {
        if (item.update.status != member_status::dead && item.update.record.domain == domain_) {
            members.push_back(id);
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
    source->send(frame_kind::commit_batch, correlation, encode(log_.batch_after(after)));
}

void distributor::on_fetched(request_client::answer answer)
{
    fetching_ = false;
    fetch_timer_.reset();
    if (!answer) {
        return;
    }
    if (const auto batch = decode<commit_batch_message>(*answer)) {
        take({}, *batch);
    }
}

} // namespace savorywheel
