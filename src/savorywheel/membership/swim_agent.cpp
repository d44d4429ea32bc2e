#include <savorywheel/membership/swim_agent.hpp>
#include <savorywheel/transport/frame_header.hpp>

#include <algorithm>
#include <bit>
#include <utility>

namespace savorywheel {

namespace {

constexpr std::size_t max_relayed_probes = 256;
constexpr unsigned large_sync_response_burst = 8;
constexpr std::chrono::milliseconds large_sync_response_interval{100};
constexpr unsigned unknown_sender_burst = 8;
constexpr std::chrono::milliseconds unknown_sender_interval{250};
constexpr std::chrono::milliseconds digest_sync_interval{1000};
/** A dead member is pinged in one of this many probe periods, on average. */
constexpr std::uint64_t dead_probe_divisor = 4;
/**
 * Bits for the sequence numbers of one start of a node, above which its incarnation at the start
 * begins. No ack to an earlier start can match a probe of this one and prove too recent a time.
 */
constexpr unsigned sequence_bits = 20;

} // namespace

swim_agent::swim_agent(member_record self, std::vector<network_endpoint> seeds,
                       membership_settings settings, environment env)
    : self_{std::move(self)}, seeds_{std::move(seeds)}, settings_{settings},
      environment_{std::move(env)}, last_sequence_{self_.incarnation << sequence_bits},
      probe_order_{self_.id, self_.region, environment_.random},
      large_sync_response_limiter_{environment_.time, large_sync_response_burst,
                                   large_sync_response_interval},
      unknown_sender_limiter_{environment_.time, unknown_sender_burst, unknown_sender_interval},
      digest_sync_limiter_{environment_.time, 1, digest_sync_interval}
{
    apply({self_, member_status::alive});
}

void swim_agent::start()
{
    probe_timer_ = environment_.timers.every(settings_.probe_period, [this] { probe_next(); });
    sync_timer_ = environment_.timers.every(settings_.sync_period, [this] { sync_random(); });
    join_timer_ = environment_.timers.every(settings_.join_period, [this] {
        if (!joined_) {
            join();
        }
    });
    join();
}

void swim_agent::add_seeds(std::span<const network_endpoint> peers)
{
    for (const auto& peer : peers) {
        if (peer != self_.peer && std::ranges::find(seeds_, peer) == seeds_.end()) {
            seeds_.push_back(peer);
        }
    }
    if (!joined_ && !seeds_.empty()) {
        join();
    }
}

void swim_agent::leave()
{
    leaving_ = true;
    probe_timer_.reset();
    sync_timer_.reset();
    join_timer_.reset();
    probe_.reset();
    ++self_.incarnation;
    const member_update departure{self_, member_status::dead};
    table_.merge(departure, environment_.time.now());
    gossip_.add(departure);
    // Each ping carries the departure, so that several members disseminate it.
    for (std::size_t i = 0; i <= settings_.indirect_probes; ++i) {
        if (const auto member = probe_order_.next(table_)) {
            send(member->peer, membership_kind::ping, ++last_sequence_);
        }
    }
}

void swim_agent::receive(const membership_message& message)
{
    if (message.protocol != protocol_version) {
        return;
    }
    for (const auto& update : message.updates) {
        apply(update);
    }
    // While updates are still queued for gossip, digests are expected to differ.
    if (message.table_digest != table_.digest() && gossip_.size() == 0 &&
        digest_sync_limiter_.admit()) {
        sync_with(message.sender_peer);
    }
    environment_.listener.on_head_received(message.sender_peer, message.head);
    switch (message.kind) {
    case membership_kind::ping:
        answer_ping(message);
        break;
    case membership_kind::ack:
        on_ack(message);
        break;
    case membership_kind::ping_request: {
        if (relayed_.size() >= max_relayed_probes) {
            break;
        }
        const auto sequence = ++last_sequence_;
        relayed_.emplace(sequence, relayed_probe{message.sender_peer, message.sequence,
                                                 environment_.time.now()});
        send(message.target, membership_kind::ping, sequence);
        break;
    }
    }
}

void swim_agent::answer_ping(const membership_message& message)
{
    const auto* sender = table_.find(message.sender);
    if (sender == nullptr && unknown_sender_limiter_.admit()) {
        sync_with(message.sender_peer);
    }
    send(message.sender_peer, membership_kind::ack, message.sequence, {}, sender);
}

void swim_agent::update_self(member_record record)
{
    record.incarnation = self_.incarnation + 1;
    self_ = std::move(record);
    apply({self_, member_status::alive});
}

void swim_agent::probe_next()
{
    finish_probe();
    expire_suspects();
    probe_dead();
    const auto target = probe_order_.next(table_);
    if (!target) {
        join();
        return;
    }
    const auto sequence = ++last_sequence_;
    probe_ = probe{};
    probe_->target = target->id;
    probe_->peer = target->peer;
    probe_->sequence = sequence;
    probe_->sent_at = environment_.time.since_boot();
    probe_->ack_timer =
        environment_.timers.after(settings_.ack_timeout, [this] { request_indirect_probes(); });
    send(target->peer, membership_kind::ping, sequence, {}, table_.find(target->id));
}

void swim_agent::probe_dead()
{
    if (environment_.random.below(dead_probe_divisor) != 0) {
        return;
    }
    if (const auto* dead = table_.next_dead(last_dead_probe_)) {
        last_dead_probe_ = dead->update.record.id;
        send(dead->update.record.peer, membership_kind::ping, ++last_sequence_, {}, dead);
    }
}

void swim_agent::finish_probe()
{
    if (!probe_) {
        return;
    }
    const auto ended = std::move(*probe_);
    probe_.reset();
    const auto* known = table_.find(ended.target);
    if (ended.acknowledged || known == nullptr || known->update.status != member_status::alive) {
        return;
    }
    apply({known->update.record, member_status::suspect});
}

void swim_agent::request_indirect_probes()
{
    if (!probe_ || probe_->acknowledged) {
        return;
    }
    for (std::size_t i = 0; i < settings_.indirect_probes; ++i) {
        const auto member = random_member();
        if (member && member->id != probe_->target) {
            send(member->peer, membership_kind::ping_request, probe_->sequence, probe_->peer);
        }
    }
}

void swim_agent::expire_suspects()
{
    const auto suspected_before = environment_.time.now() - settings_.suspicion_period;
    std::vector<member_record> expired;
    for (const auto& id : table_.suspects()) {
        const auto* item = table_.find(id);
        if (item->changed_at < suspected_before) {
            expired.push_back(item->update.record);
        }
    }
    for (const auto& record : expired) {
        apply({record, member_status::dead});
    }
}

void swim_agent::apply(const member_update& update, bool disseminate)
{
    const bool about_self = update.record.id == self_.id;
    if (about_self && !leaving_ &&
        (update.status != member_status::alive || update.record != self_) &&
        update.record.incarnation >= self_.incarnation) {
        refute(update);
        return;
    }
    const bool unknown = table_.find(update.record.id) == nullptr;
    if (unknown && update.status == member_status::dead) {
        return;
    }
    if (!table_.merge(update, environment_.time.now())) {
        return;
    }
    if (disseminate) {
        gossip_.add(update);
    }
    environment_.listener.on_member_changed(update);
}

void swim_agent::refute(const member_update& update)
{
    self_.incarnation = update.record.incarnation + 1;
    apply({self_, member_status::alive});
}

void swim_agent::send(const network_endpoint& peer, membership_kind kind, std::uint64_t sequence,
                      const network_endpoint& target, const member_table::entry* receiver_entry)
{
    membership_message message;
    message.protocol = protocol_version;
    message.kind = kind;
    message.sequence = sequence;
    message.sender = self_.id;
    message.sender_peer = self_.peer;
    message.target = target;
    message.head = head_;
    message.table_digest = table_.digest();
    message.proven_age_ms = kind == membership_kind::ack ? proven_age() : no_proven_age_ms;
    message.updates = gossip_.next_batch(settings_.max_gossip_bytes, retransmit_limit());
    if (receiver_entry != nullptr && receiver_entry->update.status != member_status::alive) {
        message.updates.push_back(receiver_entry->update);
    }
    environment_.send(peer, message);
}

void swim_agent::on_ack(const membership_message& message)
{
    if (probe_ && probe_->sequence == message.sequence) {
        probe_->acknowledged = true;
        prove_from_ack(message, probe_->sent_at);
        return;
    }
    const auto request =
        std::ranges::find(proof_requests_, message.sequence, &proof_request::sequence);
    if (request != proof_requests_.end()) {
        prove_from_ack(message, request->sent_at);
        return;
    }
    const auto found = relayed_.find(message.sequence);
    if (found != relayed_.end()) {
        const auto relay = found->second;
        relayed_.erase(found);
        send(relay.requester, membership_kind::ack, relay.sequence);
    }
}

std::size_t swim_agent::retransmit_limit() const noexcept
{
    return std::max<std::size_t>(settings_.retransmit_factor *
                                     std::bit_width(table_.live().size() + 1),
                                 settings_.min_retransmits);
}

} // namespace savorywheel
