#include <savorywheel/distribution/floor_buddies.hpp>
#include <savorywheel/distribution/floor_keeper.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

constexpr std::chrono::milliseconds attempt_period{250};
constexpr std::chrono::milliseconds refresh_period{5000};
constexpr std::chrono::milliseconds delay_patience{2500};
constexpr std::chrono::milliseconds first_store_read{300};
constexpr std::chrono::milliseconds store_read_period{2000};

/** One member out of this many may be missing in the member table when replicas are selected. */
constexpr std::size_t tolerated_missing_share = 16;

} // namespace

floor_keeper::floor_keeper(bool alone, environment surroundings)
    : alone_{alone}, environment_{std::move(surroundings)}
{
}

void floor_keeper::start()
{
    attempt_timer_ = environment_.timers.every(attempt_period, [this] { attempt(); });
    refresh_timer_ = environment_.timers.every(refresh_period, [this] { refresh(); });
    schedule_store_read(first_store_read);
    attempt();
}

void floor_keeper::stop()
{
    attempt_timer_.reset();
    refresh_timer_.reset();
    store_timer_.reset();
}

void floor_keeper::on_log_version(config_version version)
{
    known_ = std::max(known_, version);
    advance();
}

void floor_keeper::on_store_head(config_version head)
{
    if (!settled_) {
        floor_ = std::max(floor_, head);
        settle();
    }
}

void floor_keeper::on_stored(const node_id& buddy, config_version version)
{
    auto& item = held_[buddy];
    item.version = std::max(item.version, version);
    if (putting_ > usable_) {
        finish_put();
    }
}

void floor_keeper::on_value(const node_id& buddy, const floor_message& value)
{
    if (settled_ || !value.settled) {
        return;
    }
    answers_[buddy] = value;
    if (!answers_suffice()) {
        return;
    }
    for (const auto& [id, answer] : answers_) {
        floor_ = std::max(floor_, answer.version);
    }
    settle();
}

bool floor_keeper::answers_suffice() const
{
    const auto& members = environment_.members();
    const auto buddies = floor_buddies(environment_.self(), members, true);
    std::size_t answered = 0;
    std::size_t largest = 0;
    for (const auto& buddy : buddies) {
        if (const auto found = answers_.find(buddy.id); found != answers_.end()) {
            ++answered;
            largest = std::max<std::size_t>(largest, found->second.live_members);
        }
    }
    const auto tolerated = largest / tolerated_missing_share;
    return !buddies.empty() && answered >= floor_read_quorum(buddies.size()) &&
           members.live().size() + tolerated >= largest;
}

void floor_keeper::attempt()
{
    if (!settled_) {
        ask();
    }
    else if (putting_ > usable_) {
        put();
    }
}

void floor_keeper::ask()
{
    for (const auto& buddy : floor_buddies(environment_.self(), environment_.members(), true)) {
        environment_.transport.get_floor(buddy, environment_.self().id);
    }
}

void floor_keeper::schedule_store_read(duration at_least)
{
    const auto spread = std::chrono::duration_cast<std::chrono::milliseconds>(at_least * 2).count();
    const std::chrono::milliseconds jitter{
        environment_.random.below(static_cast<std::uint64_t>(spread))};
    store_timer_ = environment_.timers.after(at_least + jitter, [this] {
        environment_.transport.read_store_head();
        schedule_store_read(store_read_period);
    });
}

void floor_keeper::settle()
{
    settled_ = true;
    store_timer_.reset();
    answers_.clear();
    environment_.listener.on_floor_settled(floor_);
    advance();
}

void floor_keeper::advance()
{
    if (!settled_ || known_ < floor_ || putting_ > usable_ || known_ <= usable_) {
        return;
    }
    putting_ = known_;
    put_started_ = environment_.time.now();
    delay_reported_ = false;
    put();
}

void floor_keeper::put()
{
    buddies_ = floor_buddies(environment_.self(), environment_.members(), false);
    put_to_missing(putting_);
    finish_put();
    if (putting_ > usable_) {
        delay_or_skip();
    }
}

void floor_keeper::finish_put()
{
    const bool nobody_else = alone_ && environment_.members().entries().size() <= 1;
    const bool enough =
        !buddies_.empty() && holders(putting_) >= floor_write_quorum(buddies_.size());
    if (!nobody_else && !enough) {
        return;
    }
    usable_ = putting_;
    environment_.listener.on_version_usable(usable_);
    advance();
}

void floor_keeper::delay_or_skip()
{
    if (environment_.time.now() - put_started_ < delay_patience) {
        return;
    }
    if (buddies_.empty()) {
        usable_ = putting_;
        environment_.listener.on_floor_skipped(usable_);
        environment_.listener.on_version_usable(usable_);
        advance();
    }
    else if (!std::exchange(delay_reported_, true)) {
        environment_.listener.on_floor_delayed(putting_);
    }
}

void floor_keeper::refresh()
{
    if (settled_ && usable_ > config_version{}) {
        buddies_ = floor_buddies(environment_.self(), environment_.members(), false);
        std::erase_if(held_, [this](const auto& item) {
            return std::ranges::find(buddies_, item.first, &member_record::id) == buddies_.end();
        });
        put_to_missing(usable_);
    }
}

void floor_keeper::put_to_missing(config_version version)
{
    for (const auto& buddy : buddies_) {
        auto& item = held_[buddy.id];
        if (item.incarnation != buddy.incarnation) {
            item = {config_version{}, buddy.incarnation};
        }
    }
    const auto targets = buddies_;
    for (const auto& buddy : targets) {
        if (held_[buddy.id].version < version) {
            environment_.transport.put_floor(buddy, {environment_.self().id, version, settled_, 0});
        }
    }
}

std::size_t floor_keeper::holders(config_version version) const
{
    return static_cast<std::size_t>(std::ranges::count_if(buddies_, [&](const auto& buddy) {
        const auto found = held_.find(buddy.id);
        return found != held_.end() && found->second.version >= version;
    }));
}

} // namespace savorywheel
