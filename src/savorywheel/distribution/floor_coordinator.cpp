#include <savorywheel/distribution/floor_coordinator.hpp>
#include <savorywheel/membership/replica_selection.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

constexpr std::chrono::milliseconds attempt_period{250};
constexpr std::chrono::milliseconds refresh_period{5000};
constexpr std::chrono::milliseconds delay_report_threshold{2500};
constexpr std::chrono::milliseconds initial_store_read_delay{300};
constexpr std::chrono::milliseconds store_read_period{2000};

/** One member out of this many may be missing in the member table when replicas are selected. */
constexpr std::size_t tolerated_missing_divisor = 16;

} // namespace

floor_coordinator::floor_coordinator(bool standalone, environment env)
    : standalone_{standalone}, environment_{std::move(env)}
{
}

void floor_coordinator::start()
{
    attempt_timer_ = environment_.timers.every(attempt_period, [this] { attempt(); });
    refresh_timer_ = environment_.timers.every(refresh_period, [this] { refresh(); });
    schedule_store_read(initial_store_read_delay);
    attempt();
}

void floor_coordinator::stop()
{
    attempt_timer_.reset();
    refresh_timer_.reset();
    store_timer_.reset();
}

void floor_coordinator::on_log_version(config_version version)
{
    log_version_ = std::max(log_version_, version);
    advance();
}

void floor_coordinator::on_store_head(config_version head)
{
    if (!floor_known_) {
        floor_ = std::max(floor_, head);
        complete_recovery();
    }
}

void floor_coordinator::on_floor_stored(const node_id& replica, config_version version)
{
    auto& item = acknowledged_[replica];
    item.version = std::max(item.version, version);
    if (pending_version_ > usable_) {
        complete_if_acknowledged();
    }
}

void floor_coordinator::on_floor_value(const node_id& replica, const floor_message& value)
{
    if (floor_known_ || !value.floor_known) {
        return;
    }
    responses_[replica] = value;
    if (!has_read_quorum()) {
        return;
    }
    for (const auto& [id, answer] : responses_) {
        floor_ = std::max(floor_, answer.version);
    }
    complete_recovery();
}

bool floor_coordinator::has_read_quorum() const
{
    const auto& members = environment_.members();
    const auto replicas = select_replicas(environment_.self(), members, true);
    std::size_t answered = 0;
    std::size_t largest = 0;
    for (const auto& replica : replicas) {
        if (const auto found = responses_.find(replica.id); found != responses_.end()) {
            ++answered;
            largest = std::max<std::size_t>(largest, found->second.live_members);
        }
    }
    const auto tolerated = largest / tolerated_missing_divisor;
    return !replicas.empty() && answered >= read_quorum(replicas.size()) &&
           members.live().size() + tolerated >= largest;
}

void floor_coordinator::attempt()
{
    if (!floor_known_) {
        request_floor();
    }
    else if (pending_version_ > usable_) {
        replicate();
    }
}

void floor_coordinator::request_floor()
{
    for (const auto& replica : select_replicas(environment_.self(), environment_.members(), true)) {
        environment_.transport.get_floor(replica, environment_.self().id);
    }
}

void floor_coordinator::schedule_store_read(duration at_least)
{
    const auto spread = std::chrono::duration_cast<std::chrono::milliseconds>(at_least * 2).count();
    const std::chrono::milliseconds jitter{
        environment_.random.below(static_cast<std::uint64_t>(spread))};
    store_timer_ = environment_.timers.after(at_least + jitter, [this] {
        environment_.transport.read_store_head();
        schedule_store_read(store_read_period);
    });
}

void floor_coordinator::complete_recovery()
{
    floor_known_ = true;
    store_timer_.reset();
    responses_.clear();
    environment_.listener.on_floor_known(floor_);
    advance();
}

void floor_coordinator::advance()
{
    if (!floor_known_ || log_version_ < floor_ || pending_version_ > usable_ ||
        log_version_ <= usable_) {
        return;
    }
    pending_version_ = log_version_;
    replication_started_at_ = environment_.time.now();
    delay_reported_ = false;
    replicate();
}

void floor_coordinator::replicate()
{
    replicas_ = select_replicas(environment_.self(), environment_.members(), false);
    send_to_unacknowledged(pending_version_);
    complete_if_acknowledged();
    if (pending_version_ > usable_) {
        report_delay_or_skip();
    }
}

void floor_coordinator::complete_if_acknowledged()
{
    const bool only_member = standalone_ && environment_.members().entries().size() <= 1;
    const bool enough = !replicas_.empty() &&
                        count_acknowledged(pending_version_) >= write_quorum(replicas_.size());
    if (!only_member && !enough) {
        return;
    }
    usable_ = pending_version_;
    environment_.listener.on_version_usable(usable_);
    advance();
}

void floor_coordinator::report_delay_or_skip()
{
    if (environment_.time.now() - replication_started_at_ < delay_report_threshold) {
        return;
    }
    if (replicas_.empty()) {
        usable_ = pending_version_;
        environment_.listener.on_floor_skipped(usable_);
        environment_.listener.on_version_usable(usable_);
        advance();
    }
    else if (!std::exchange(delay_reported_, true)) {
        environment_.listener.on_floor_delayed(pending_version_);
    }
}

void floor_coordinator::refresh()
{
    if (floor_known_ && usable_ > config_version{}) {
        replicas_ = select_replicas(environment_.self(), environment_.members(), false);
        std::erase_if(acknowledged_, [this](const auto& item) {
            return std::ranges::find(replicas_, item.first, &member_record::id) == replicas_.end();
        });
        send_to_unacknowledged(usable_);
    }
}

void floor_coordinator::send_to_unacknowledged(config_version version)
{
    for (const auto& replica : replicas_) {
        auto& item = acknowledged_[replica.id];
        if (item.incarnation != replica.incarnation) {
            item = {config_version{}, replica.incarnation};
        }
    }
    const auto targets = replicas_;
    for (const auto& replica : targets) {
        if (acknowledged_[replica.id].version < version) {
            environment_.transport.put_floor(replica,
                                             {environment_.self().id, version, floor_known_, 0});
        }
    }
}

std::size_t floor_coordinator::count_acknowledged(config_version version) const
{
    return static_cast<std::size_t>(std::ranges::count_if(replicas_, [&](const auto& replica) {
        const auto found = acknowledged_.find(replica.id);
        return found != acknowledged_.end() && found->second.version >= version;
    }));
}

} // namespace savorywheel
