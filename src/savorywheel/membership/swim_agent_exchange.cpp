#include <savorywheel/membership/swim_agent.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace savorywheel {

namespace {

constexpr std::chrono::seconds relayed_probe_lifetime{2};
constexpr std::size_t bulk_exchange_members = 32;
/** Responses with more members are rate-limited. */
constexpr std::size_t large_sync_response_members = 512;
constexpr std::uint64_t parallel_join_attempts = 2;
/** More than a node sends while an ack may still arrive. */
constexpr std::size_t max_proof_requests = 8;

std::vector<std::uint16_t> differing_buckets(std::span<const std::uint64_t> remote,
                                             const member_table::bucket_digests& local)
{
    std::vector<std::uint16_t> buckets;
    for (std::size_t i = 0; i < local.size(); ++i) {
        if (i >= remote.size() || remote[i] != local.at(i)) {
            buckets.push_back(static_cast<std::uint16_t>(i));
        }
    }
    return buckets;
}

} // namespace

std::optional<membership_sync_message>
swim_agent::answer_sync(const membership_sync_message& request)
{
    merge_all(request.members);
    if (request.digests.empty()) {
        return std::nullopt;
    }
    membership_sync_message answer;
    answer.differing = differing_buckets(request.digests, table_.buckets());
    answer.members = table_.updates_in_buckets(answer.differing, environment_.time.now() -
                                                                     settings_.dead_retention / 2);
    if (answer.members.size() > large_sync_response_members &&
        !large_sync_response_limiter_.admit()) {
        answer = {};
        answer.refused = true;
    }
    return answer;
}

std::optional<membership_sync_message>
swim_agent::finish_sync(const membership_sync_message& answer)
{
    if (answer.refused) {
        return std::nullopt;
    }
    membership_sync_message last;
    if (joined_) {
        last.members = table_.updates_in_buckets(
            answer.differing, environment_.time.now() - settings_.dead_retention / 2);
    }
    merge_all(answer.members);
    joined_ = true;
    return last.members.empty() ? std::nullopt : std::optional{std::move(last)};
}

void swim_agent::merge_all(std::span<const member_update> updates)
{
    // Other members already have the updates that arrive in bulk, so these are not gossiped.
    const bool bulk = updates.size() > bulk_exchange_members;
    const auto aged_change_time = environment_.time.now() - settings_.dead_retention / 2;
    for (const auto& update : updates) {
        const bool unknown = table_.find(update.record.id) == nullptr;
        if (unknown && update.status == member_status::dead && update.record.id != self_.id) {
            table_.merge(update, aged_change_time);
            continue;
        }
        apply(update, !bulk);
    }
}

void swim_agent::join()
{
    std::vector<network_endpoint> peers;
    std::ranges::copy_if(seeds_, std::back_inserter(peers),
                         [this](const auto& seed) { return seed != self_.peer; });
    for (std::uint64_t i = 0; i < parallel_join_attempts && !peers.empty(); ++i) {
        const auto index = environment_.random.below(peers.size());
        sync_with(peers[index]);
        peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

void swim_agent::sync_random()
{
    if (const auto member = random_member()) {
        sync_with(member->peer);
    }
    const auto now = environment_.time.now();
    table_.erase_dead_before(now - settings_.dead_retention);
    std::erase_if(relayed_, [now](const auto& item) {
        return item.second.started + relayed_probe_lifetime < now;
    });
}

void swim_agent::sync_with(const network_endpoint& peer)
{
    membership_sync_message request;
    const auto& digests = table_.buckets();
    request.digests.assign(digests.begin(), digests.end());
    request.members.push_back({self_, member_status::alive});
    environment_.sync(peer, request);
}

void swim_agent::prove(duration as_of)
{
    if (!proven_ || as_of > *proven_) {
        proven_ = as_of;
        environment_.listener.on_proven(as_of);
    }
}

void swim_agent::request_proof(const network_endpoint& peer)
{
    proof_requests_.push_back({++last_sequence_, environment_.time.since_boot()});
    if (proof_requests_.size() > max_proof_requests) {
        proof_requests_.pop_front();
    }
    send(peer, membership_kind::ping, last_sequence_);
}

void swim_agent::prove_from_ack(const membership_message& message, duration sent_at)
{
    // The ack states the age after the ping was sent, so that no delay makes the result too recent.
    if (message.proven_age_ms != no_proven_age_ms &&
        head_.operator_version >= message.head.operator_version) {
        prove(sent_at - std::chrono::milliseconds{message.proven_age_ms});
    }
}

std::uint32_t swim_agent::proven_age() const noexcept
{
    if (!proven_) {
        return no_proven_age_ms;
    }
    const auto age =
        std::chrono::ceil<std::chrono::milliseconds>(environment_.time.since_boot() - *proven_);
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age.count(), 0, no_proven_age_ms));
}

std::optional<member_record> swim_agent::random_member()
{
    const auto members = table_.live();
    if (members.empty()) {
        return std::nullopt;
    }
    const auto& record = members[environment_.random.below(members.size())]->update.record;
    return record.id == self_.id ? std::nullopt : std::optional{record};
}

} // namespace savorywheel
