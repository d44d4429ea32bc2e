#include <savorywheel/membership/swim_agent.hpp>
#include <savorywheel/transport/frame_header.hpp>

#include <algorithm>
#include <bit>
#include <utility>

namespace savorywheel {

namespace {

constexpr std::chrono::seconds relayed_probe_lifetime{2};

} // namespace

swim_agent::swim_agent(member_record self, std::vector<network_endpoint> seeds,
                       membership_settings settings, environment surroundings)
    : self_{std::move(self)}, seeds_{std::move(seeds)}, settings_{settings}, environment_{std::move(
                                                                                 surroundings)}
{
    apply({self_, member_status::alive});
}

void swim_agent::start()
{
    probe_timer_ = environment_.timers.every(settings_.probe_period, [this] { probe_next(); });
    sync_timer_ = environment_.timers.every(settings_.sync_period, [this] { sync_random(); });
    join();
}

void swim_agent::leave()
{
    leaving_ = true;
    probe_timer_.reset();
    sync_timer_.reset();
    probe_.reset();
    ++self_.incarnation;
    const member_update farewell{self_, member_status::dead};
    table_.merge(farewell, environment_.time.now());
    enqueue(farewell);
    const auto members = live_members();
    const auto count = std::min(members.size(), settings_.indirect_probes + 1);
    for (std::size_t i = 0; i < count; ++i) {
        send(members[i].peer, membership_kind::ping, ++last_sequence_);
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
    environment_.listener.on_head_seen(message.sender_peer, message.head);
    switch (message.kind) {
    case membership_kind::ping:
        send(message.sender_peer, membership_kind::ack, message.sequence);
        if (table_.find(message.sender) == nullptr) {
            environment_.sync(message.sender_peer);
        }
        break;
    case membership_kind::ack:
        on_ack(message);
        break;
    case membership_kind::ping_request: {
        const auto sequence = ++last_sequence_;
        relayed_.emplace(sequence, relayed_probe{message.sender_peer, message.sequence,
                                                 environment_.time.now()});
        send(message.target, membership_kind::ping, sequence);
        break;
    }
    }
}

void swim_agent::merge_all(std::span<const member_update> updates)
{
    for (const auto& update : updates) {
        apply(update);
    }
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
    const auto target = next_target();
    if (!target) {
        join();
        return;
    }
    const auto sequence = ++last_sequence_;
    probe_ = probe{};
    probe_->target = target->id;
    probe_->peer = target->peer;
    probe_->sequence = sequence;
    probe_->ack_timer = environment_.timers.after(settings_.ack_timeout, [this] { ask_others(); });
    send(target->peer, membership_kind::ping, sequence);
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

void swim_agent::ask_others()
{
    if (!probe_ || probe_->acknowledged) {
        return;
    }
    auto members = live_members();
    std::erase_if(members, [this](const auto& member) { return member.id == probe_->target; });
    for (std::size_t i = 0; i < settings_.indirect_probes && !members.empty(); ++i) {
        const auto index = environment_.random.below(members.size());
        send(members[index].peer, membership_kind::ping_request, probe_->sequence, probe_->peer);
        members.erase(members.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

void swim_agent::join()
{
    for (const auto& seed : seeds_) {
        if (seed != self_.peer) {
            environment_.sync(seed);
        }
    }
}

void swim_agent::sync_random()
{
    const auto members = live_members();
    if (!members.empty()) {
        environment_.sync(members[environment_.random.below(members.size())].peer);
    }
    const auto now = environment_.time.now();
    table_.forget_dead_before(now - settings_.dead_retention);
    std::erase_if(relayed_, [now](const auto& item) {
        return item.second.started + relayed_probe_lifetime < now;
    });
}

void swim_agent::expire_suspects()
{
    const auto limit = environment_.time.now() - settings_.suspicion_period;
    std::vector<member_record> expired;
    for (const auto& [id, item] : table_.entries()) {
        if (item.update.status == member_status::suspect && item.changed_at < limit) {
            expired.push_back(item.update.record);
        }
    }
    for (const auto& record : expired) {
        apply({record, member_status::dead});
    }
}

void swim_agent::apply(const member_update& update)
{
    const bool about_self = update.record.id == self_.id;
    if (about_self && !leaving_ &&
        (update.status != member_status::alive || update.record != self_) &&
        update.record.incarnation >= self_.incarnation) {
        refute(update);
        return;
    }
    if (!table_.merge(update, environment_.time.now())) {
        return;
    }
    enqueue(update);
    environment_.listener.on_member_changed(update);
}

void swim_agent::refute(const member_update& update)
{
    self_.incarnation = update.record.incarnation + 1;
    apply({self_, member_status::alive});
}

void swim_agent::enqueue(const member_update& update)
{
    std::erase_if(gossip_, [&update](const gossip& item) {
        return item.update.record.id == update.record.id;
    });
    gossip_.push_front({update, 0});
}

void swim_agent::send(const network_endpoint& peer, membership_kind kind, std::uint64_t sequence,
                      const network_endpoint& target)
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
    message.updates = take_gossip();
    environment_.send(peer, message);
}

void swim_agent::on_ack(const membership_message& message)
{
    if (probe_ && probe_->sequence == message.sequence) {
        probe_->acknowledged = true;
        return;
    }
    const auto found = relayed_.find(message.sequence);
    if (found != relayed_.end()) {
        const auto relay = found->second;
        relayed_.erase(found);
        send(relay.requester, membership_kind::ack, relay.sequence);
    }
}

std::vector<member_update> swim_agent::take_gossip()
{
    std::vector<member_update> updates;
    const auto count = std::min(gossip_.size(), settings_.updates_per_message);
    for (std::size_t i = 0; i < count; ++i) {
        updates.push_back(gossip_[i].update);
        ++gossip_[i].sent;
    }
    const auto limit = retransmit_limit();
    std::erase_if(gossip_, [limit](const gossip& item) { return item.sent >= limit; });
    std::ranges::stable_sort(gossip_, {}, &gossip::sent);
    return updates;
}

std::optional<member_record> swim_agent::next_target()
{
    while (true) {
        if (round_.empty()) {
            for (const auto& member : live_members()) {
                round_.push_back(member.id);
            }
            for (std::size_t i = round_.size(); i > 1; --i) {
                std::swap(round_[i - 1], round_[environment_.random.below(i)]);
            }
        }
        if (round_.empty()) {
            return std::nullopt;
        }
        const auto id = round_.back();
        round_.pop_back();
        const auto* known = table_.find(id);
        if (known != nullptr && known->update.status != member_status::dead) {
            return known->update.record;
        }
    }
}

std::vector<member_record> swim_agent::live_members() const
{
    std::vector<member_record> members;
    for (const auto& [id, item] : table_.entries()) {
        if (id != self_.id && item.update.status != member_status::dead) {
            members.push_back(item.update.record);
        }
    }
    return members;
}

std::size_t swim_agent::retransmit_limit() const noexcept
{
    return settings_.retransmit_factor * std::bit_width(table_.entries().size() + 1);
}

} // namespace savorywheel
