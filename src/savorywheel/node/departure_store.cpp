#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/node/departure_store.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

/** A read takes a few milliseconds, and about 60 times as long while the store is slow. */
constexpr std::chrono::milliseconds usual_read_time{1000};
constexpr std::chrono::milliseconds min_retry_delay{250};
constexpr std::chrono::milliseconds max_retry_delay{4000};

} // namespace

departure_store::departure_store(const node_id& self, environment env)
    : key_{fmt::format("departures/{}", self.str())}, environment_{env}, retry_delay_{
                                                                             min_retry_delay}
{
}

void departure_store::start(restored_callback restored, callback delayed)
{
    restored_ = std::move(restored);
    delay_timer_ = environment_.loop.timers().after(usual_read_time, std::move(delayed));
    read();
}

void departure_store::write(std::span<const backend_departure> departures, callback written)
{
    wanted_.items.assign(departures.begin(), departures.end());
    if (is_read_ && !is_writing_ && stored_.value == wanted_) {
        written();
        return;
    }
    waiting_.push_back(std::move(written));
    submit_write();
}

void departure_store::on_store_restored()
{
    if (is_read_ && !wanted_.items.empty()) {
        stored_.value = {};
        waiting_.emplace_back([] {});
        submit_write();
    }
}

void departure_store::read()
{
    environment_.worker.submit([this, key = key_](object_store& store) {
        environment_.loop.post([this, result = read_object(store, key)] { on_read(result); });
    });
}

void departure_store::on_read(const outcome<stored>& result)
{
    if (!result) {
        environment_.log.write(event_id::departures_unknown, result.reason().message);
        retry([this] { read(); });
        return;
    }
    is_read_ = true;
    stored_ = *result;
    delay_timer_.reset();
    retry_delay_ = min_retry_delay;
    environment_.log.write(event_id::departures_restored,
                           fmt::format("{} departures", stored_.value.items.size()));
    // The callback may write.
    restored_(std::vector{stored_.value.items});
    submit_write();
}

void departure_store::submit_write()
{
    if (!is_read_ || is_writing_ || waiting_.empty()) {
        return;
    }
    is_writing_ = true;
    environment_.worker.submit([this, key = key_, value = wanted_,
                                revision = stored_.revision](object_store& store) {
        environment_.loop.post([this, value, result = write_object(store, key, value, revision)] {
            on_written(result, value);
        });
    });
}

void departure_store::on_written(const outcome<std::uint64_t>& revision,
                                 const backend_departures& value)
{
    is_writing_ = false;
    if (!revision) {
        environment_.log.write(event_id::departure_not_recorded, revision.reason().message);
        retry([this] { submit_write(); });
        return;
    }
    stored_ = {value, *revision};
    retry_delay_ = min_retry_delay;
    if (value == wanted_) {
        for (const auto& written : std::exchange(waiting_, {})) {
            written();
        }
    }
    submit_write();
}

void departure_store::retry(callback action)
{
    retry_timer_ = environment_.loop.timers().after(retry_delay_, std::move(action));
    retry_delay_ = std::min(retry_delay_ * 2, max_retry_delay);
}

outcome<departure_store::stored> departure_store::read_object(object_store& store,
                                                              const std::string& key)
{
    const auto object = store.get(key);
    if (!object) {
        return object.reason().code == failure_code::not_found ? outcome<stored>{stored{}}
                                                               : object.reason();
    }
    // What another writer has left there is replaced by the next write.
    const auto value = decode_json<backend_departures>(object->value);
    return stored{value ? *value : backend_departures{}, object->revision};
}

outcome<std::uint64_t> departure_store::write_object(object_store& store, const std::string& key,
                                                     const backend_departures& value,
                                                     std::optional<std::uint64_t> revision)
{
    const auto text = encode_json(value);
    auto written = revision ? store.update(key, text, *revision) : store.create(key, text);
    if (written || written.reason().code != failure_code::conflict) {
        return written;
    }
    // An earlier write whose response was lost has changed the revision.
    const auto known = store.get(key);
    if (known) {
        return store.update(key, text, known->revision);
    }
    // A store that was restored from a backup may have lost the object.
    return known.reason().code == failure_code::not_found ? store.create(key, text)
                                                          : known.reason();
}

} // namespace savorywheel
