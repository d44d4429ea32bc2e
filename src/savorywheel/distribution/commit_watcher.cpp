#include <savorywheel/core/thread_name.hpp>
#include <savorywheel/distribution/commit_decoder.hpp>
#include <savorywheel/distribution/commit_keys.hpp>
#include <savorywheel/distribution/commit_reader.hpp>
#include <savorywheel/distribution/commit_watcher.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

constexpr std::chrono::milliseconds max_watch_wait{2000};
constexpr std::chrono::milliseconds min_retry_delay{100};
constexpr std::chrono::milliseconds max_retry_delay{1000};

/** Decodes commits at or below the read position, whose objects were overwritten. */
std::vector<commit> read_rewritten(std::span<const stored_object> objects, config_version position)
{
    std::vector<commit> rewritten;
    for (const auto& object : objects) {
        const auto version = version_of_key(object.key);
        if (!version || *version > position) {
            continue;
        }
        auto item = decode_json<commit>(object.value);
        if (item && item->version == *version) {
            rewritten.push_back(std::move(*item));
        }
    }
    return rewritten;
}

} // namespace

commit_watcher::commit_watcher(object_store& store, random_source& random, tail_callback tail,
                               health_callback health)
    : store_{store}, random_{random}, tail_{std::move(tail)}, health_{std::move(health)},
      retry_delay_{min_retry_delay}, thread_{[this] { run(); }}
{
}

commit_watcher::~commit_watcher()
{
    {
        const std::scoped_lock lock{mutex_};
        stopping_ = true;
    }
    wake_.notify_all();
    thread_.join();
}

void commit_watcher::start(config_version after)
{
    {
        const std::scoped_lock lock{mutex_};
        active_ = true;
        restart_ = after;
    }
    wake_.notify_all();
}

void commit_watcher::pause()
{
    const std::scoped_lock lock{mutex_};
    active_ = false;
}

void commit_watcher::run()
{
    set_thread_name("store-watch");
    position current;
    while (wait_for_work(current)) {
        const bool answered = current.listed ? follow(current) : catch_up(current);
        health_(answered);
        if (!answered) {
            current.listed = false;
            back_off();
        }
    }
}

bool commit_watcher::wait_for_work(position& current)
{
    std::unique_lock lock{mutex_};
    wake_.wait(lock, [this] { return stopping_ || active_; });
    if (restart_) {
        current = {*restart_, 0, false, false};
        restart_.reset();
    }
    return !stopping_;
}

bool commit_watcher::catch_up(position& current)
{
    auto tail = commit_reader{store_}.read_after(current.version);
    if (!tail) {
        return false;
    }
    current = {tail->head, tail->revision, true, tail->fault.has_value()};
    retry_delay_ = min_retry_delay;
    tail_(std::move(*tail));
    return true;
}

bool commit_watcher::follow(position& current)
{
    const auto objects = store_.watch(commit_prefix, current.revision, max_watch_wait);
    if (!objects) {
        current.listed = false;
        return objects.reason().code == failure_code::not_found;
    }
    if (current.faulty && !objects->objects.empty()) {
        current.listed = false;
        return true;
    }
    commit_decoder decoder{current.version};
    log_tail tail;
    tail.rewritten = read_rewritten(objects->objects, current.version);
    tail.batch.commits = decoder.decode(objects->objects);
    tail.head = decoder.position();
    tail.fault = decoder.fault();
    // A missing version may arrive out of order or be repaired: list again in the next round.
    current = {tail.head, std::max(current.revision, objects->revision), !tail.fault, false};
    if (!tail.batch.commits.empty() || !tail.rewritten.empty()) {
        tail_(std::move(tail));
    }
    return true;
}

void commit_watcher::back_off()
{
    const auto jitter = random_.below(static_cast<std::uint64_t>(retry_delay_.count()));
    const auto wait = retry_delay_ / 2 + std::chrono::milliseconds{jitter};
    retry_delay_ = std::min(retry_delay_ * 2, max_retry_delay);
    std::unique_lock lock{mutex_};
    wake_.wait_for(lock, wait, [this] { return stopping_; });
}

} // namespace savorywheel
