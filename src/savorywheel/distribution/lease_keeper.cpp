#include <savorywheel/distribution/lease_keeper.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

/** Limits the backoff, so that a lease is acquired soon after a store outage. */
constexpr unsigned max_backoff_doublings = 1;

} // namespace

lease_keeper::lease_keeper(std::string key, lease_record self, environment surroundings,
                           change_callback changed)
    : key_{std::move(key)}, self_{std::move(self)}, environment_{surroundings}, changed_{std::move(
                                                                                    changed)}
{
}

void lease_keeper::start()
{
    if (running_) {
        return;
    }
    running_ = true;
    schedule(std::chrono::milliseconds{environment_.random.below(100)});
}

void lease_keeper::stop()
{
    running_ = false;
    timer_.reset();
    if (held()) {
        release();
    }
    set_held(false);
}

void lease_keeper::schedule(duration delay)
{
    if (running_) {
        timer_ = environment_.loop.timers().after(delay, [this] { attempt(); });
    }
}

void lease_keeper::attempt()
{
    give_up_if_lapsed();
    environment_.store.submit([this](object_store& store) {
        auto object = store.get(key_);
        environment_.loop.post([this, object = std::move(object)] {
            if (running_) {
                on_read(object);
            }
        });
    });
}

void lease_keeper::on_read(const outcome<stored_object>& object)
{
    give_up_if_lapsed();
    if (!object) {
        if (object.reason().code == failure_code::not_found) {
            claim(1, std::nullopt);
            return;
        }
        back_off();
        return;
    }
    failures_ = 0;
    const auto now = environment_.loop.time().now();
    const auto present = decode_json<lease_record>(object->value);
    if (present && (!seen_ || seen_->term != present->term || seen_->holder != present->holder)) {
        seen_ = *present;
        seen_at_ = now;
    }
    const bool own = present && present->holder == self_.holder && held_;
    if (present && !own) {
        predecessor_ = present.value();
    }
    const bool lapsed = !present || now - seen_at_ >= seen_->lifetime;
    if (own || lapsed) {
        claim(present ? present->term + 1 : 1, object->revision);
        return;
    }
    schedule(renewal_period());
}

void lease_keeper::claim(std::uint64_t term, std::optional<std::uint64_t> expected)
{
    auto record = self_;
    record.term = term;
    const auto started = environment_.loop.time().now();
    environment_.store.submit([this, record, expected, started](object_store& store) {
        const auto value = encode_json(record);
        const auto written =
            expected ? store.update(key_, value, *expected) : store.create(key_, value);
        environment_.loop.post([this, written, started, record] {
            if (running_) {
                on_written(written, started, record);
            }
        });
    });
}

void lease_keeper::on_written(const outcome<std::uint64_t>& written, monotonic_time started,
                              lease_record record)
{
    if (written) {
        failures_ = 0;
        revision_ = *written;
        seen_ = std::move(record);
        seen_at_ = started;
        valid_until_ = started + self_.lifetime;
        set_held(environment_.loop.time().now() < valid_until_);
    }
    give_up_if_lapsed();
    schedule(renewal_period());
}

void lease_keeper::release()
{
    auto record = self_;
    record.term = seen_->term + 1;
    record.lifetime = std::chrono::milliseconds::zero();
    environment_.store.submit(
        [key = key_, value = encode_json(record), expected = revision_](object_store& store) {
            // If the write fails, the lease expires after its lifetime.
            static_cast<void>(store.update(key, value, expected));
        });
}

void lease_keeper::back_off()
{
    failures_ = std::min(failures_ + 1, max_backoff_doublings);
    const auto longest =
        std::chrono::duration_cast<std::chrono::milliseconds>(renewal_period()) * (1U << failures_);
    const auto bound = static_cast<std::uint64_t>(longest.count()) / 2;
    schedule(longest / 2 + std::chrono::milliseconds{environment_.random.below(bound)});
}

void lease_keeper::set_held(bool held)
{
    if (std::exchange(held_, held) != held) {
        changed_(held);
    }
}

void lease_keeper::give_up_if_lapsed()
{
    if (held_ && environment_.loop.time().now() >= valid_until_) {
        set_held(false);
    }
}

} // namespace savorywheel
