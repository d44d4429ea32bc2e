#include <savorywheel/distribution/lease_manager.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace savorywheel {

namespace {

/** Limits the backoff, so that a lease is acquired soon after a store outage. */
constexpr unsigned max_backoff_doublings = 1;

/** Leases of nodes last seconds; a longer one was written by something else. */
constexpr std::chrono::milliseconds max_lifetime = std::chrono::minutes{1};

/** Decodes a lease; fails for one that no node writes, so that it does not block the nodes. */
outcome<lease_record> decode_lease(const stored_object& object)
{
    auto record = decode_json<lease_record>(object.value);
    if (!record) {
        return record;
    }
    const bool valid = record->lifetime >= std::chrono::milliseconds::zero() &&
                       record->lifetime <= max_lifetime &&
                       record->term < std::numeric_limits<std::uint64_t>::max();
    return valid ? record
                 : failure{failure_code::malformed, "lease with an invalid lifetime or term"};
}

} // namespace

lease_manager::lease_manager(std::string key, lease_record self, environment env,
                             change_callback changed)
    : key_{std::move(key)}, self_{std::move(self)}, environment_{env}, changed_{std::move(changed)}
{
}

void lease_manager::start()
{
    if (running_) {
        return;
    }
    running_ = true;
    schedule(std::chrono::milliseconds{environment_.random.below(100)});
}

void lease_manager::stop()
{
    running_ = false;
    timer_.reset();
    if (held()) {
        release();
    }
    set_held(false);
}

void lease_manager::schedule(duration delay)
{
    if (running_) {
        timer_ = environment_.loop.timers().after(delay, [this] { attempt(); });
    }
}

void lease_manager::attempt()
{
    drop_if_expired();
    environment_.store.submit([this](object_store& store) {
        auto object = store.get(key_);
        environment_.loop.post([this, object = std::move(object), era = store.era()] {
            if (running_) {
                on_read(object, era);
            }
        });
    });
}

bool lease_manager::observe_era(std::optional<std::uint64_t> era)
{
    if (!era || era_ == era) {
        return false;
    }
    const bool restored = era_.has_value();
    era_ = era;
    if (restored || environment_.exclusive) {
        acquire_from_ = environment_.loop.time().now() + self_.lifetime;
    }
    return restored;
}

void lease_manager::on_read(const outcome<stored_object>& object, std::optional<std::uint64_t> era)
{
    drop_if_expired();
    if (!object && object.reason().code != failure_code::not_found) {
        back_off();
        return;
    }
    const bool restored = observe_era(era);
    if (!object) {
        if (may_acquire()) {
            acquire_or_renew(1, std::nullopt);
        }
        else {
            schedule(renewal_period());
        }
        return;
    }
    consecutive_failures_ = 0;
    const auto now = environment_.loop.time().now();
    const auto present = decode_lease(*object);
    if (present && (restored || !observed_ || observed_->term != present->term ||
                    observed_->holder != present->holder)) {
        observed_ = *present;
        observed_at_ = now;
    }
    const bool own = present && present->holder == self_.holder && held_;
    if (present && !own) {
        predecessor_ = present.value();
    }
    const bool expired = !present || now - observed_at_ >= observed_->lifetime;
    if (own || (present && is_own_earlier(*present, era)) || (expired && may_acquire())) {
        const auto last_term = present ? present->term : observed_ ? observed_->term : 0;
        acquire_or_renew(last_term + 1, object->revision);
        return;
    }
    schedule(renewal_period());
}

/**
 * The store writes conditionally, so that nobody has held the lease since this node wrote it, and
 * an earlier process of this node has ended. A store that was ever restored may have lost a holder.
 */
bool lease_manager::is_own_earlier(const lease_record& present,
                                   std::optional<std::uint64_t> era) const
{
    return environment_.exclusive && present.holder == self_.holder && era == 0U;
}

void lease_manager::acquire_or_renew(std::uint64_t term, std::optional<std::uint64_t> expected)
{
    auto record = self_;
    record.term = term;
    const auto started = environment_.loop.time().now();
    environment_.store.submit([this, record, expected, started](object_store& store) {
        const auto value = encode_json(record);
        const auto written =
            expected ? store.update(key_, value, *expected) : store.create(key_, value);
        environment_.loop.post([this, written, started, record, era = store.era()] {
            if (running_) {
                on_written(written, started, record, era);
            }
        });
    });
}

void lease_manager::on_written(const outcome<std::uint64_t>& written, monotonic_time started,
                               lease_record record, std::optional<std::uint64_t> era)
{
    // A write that was decided in an earlier era may have replaced nothing of what was read.
    const bool restored = written && observe_era(era);
    if (written && !restored) {
        consecutive_failures_ = 0;
        revision_ = *written;
        observed_ = std::move(record);
        observed_at_ = started;
        valid_until_ = started + self_.lifetime;
        set_held(environment_.loop.time().now() < valid_until_);
    }
    drop_if_expired();
    schedule(written || !held_ ? renewal_period() : retry_period());
}

void lease_manager::release()
{
    auto record = self_;
    record.term = observed_->term + 1;
    record.lifetime = std::chrono::milliseconds::zero();
    environment_.store.submit(
        [key = key_, value = encode_json(record), expected = revision_](object_store& store) {
            // If the write fails, the lease expires after its lifetime.
            static_cast<void>(store.update(key, value, expected));
        });
}

void lease_manager::back_off()
{
    if (held_) {
        schedule(retry_period());
        return;
    }
    consecutive_failures_ = std::min(consecutive_failures_ + 1, max_backoff_doublings);
    const auto longest = std::chrono::duration_cast<std::chrono::milliseconds>(renewal_period()) *
                         (1U << consecutive_failures_);
    const auto bound = static_cast<std::uint64_t>(longest.count()) / 2;
    schedule(longest / 2 + std::chrono::milliseconds{environment_.random.below(bound)});
}

void lease_manager::set_held(bool held)
{
    if (std::exchange(held_, held) != held) {
        changed_(held);
    }
}

void lease_manager::drop_if_expired()
{
    if (held_ && environment_.loop.time().now() >= valid_until_) {
        set_held(false);
    }
}

} // namespace savorywheel
