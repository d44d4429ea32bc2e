#include <savorywheel/core/thread_name.hpp>
#include <savorywheel/distribution/document_watcher.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace savorywheel {

namespace {

/** A longer wait needs fewer requests, but detects a stalled connection later. */
constexpr std::chrono::milliseconds watch_patience{25'000};
/** Changes within this window are read together; a quarter of the 2.5 s activation target. */
constexpr std::chrono::milliseconds gather_time{600};
constexpr std::chrono::milliseconds first_delay{100};
constexpr std::chrono::milliseconds longest_delay{1000};

} // namespace

document_watcher::document_watcher(std::string prefix, environment surroundings)
    : prefix_{std::move(prefix)}, environment_{std::move(surroundings)}, delay_{first_delay}
{
}

document_watcher::~document_watcher()
{
    stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void document_watcher::start()
{
    thread_ = std::thread{[this] { run(); }};
}

void document_watcher::stop()
{
    {
        const std::scoped_lock lock{mutex_};
        stopping_ = true;
    }
    wake_.notify_all();
}

void document_watcher::run()
{
    name_this_thread("document-watch");
    while (true) {
        const auto answered = revision_ ? follow() : read();
        environment_.health(answered);
        if (!pause(answered ? gather_time : next_delay())) {
            return;
        }
    }
}

outcome<bool> document_watcher::read()
{
    auto seen = environment_.store.list(prefix_, {});
    if (!seen) {
        return seen.reason();
    }
    revision_ = seen->revision;
    delay_ = first_delay;
    take(std::move(*seen));
    return true;
}

outcome<bool> document_watcher::follow()
{
    auto seen = environment_.store.watch(prefix_, *revision_, watch_patience);
    if (!seen) {
        // If the store has compacted this revision, only a full list returns the newest values.
        revision_.reset();
        return seen.reason().code == failure_code::not_found ? outcome<bool>{true}
                                                             : outcome<bool>{seen.reason()};
    }
    revision_ = std::max(*revision_, seen->revision);
    delay_ = first_delay;
    take(std::move(*seen));
    return true;
}

void document_watcher::take(object_list seen)
{
    std::map<std::string, stored_object> newest;
    for (auto& object : seen.objects) {
        auto& known = newest[object.key];
        if (known.revision <= object.revision) {
            known = std::move(object);
        }
    }
    std::vector<stored_object> changed;
    changed.reserve(newest.size());
    for (auto& [key, object] : newest) {
        changed.push_back(std::move(object));
    }
    if (!changed.empty()) {
        environment_.documents(std::move(changed));
    }
}

bool document_watcher::pause(std::chrono::milliseconds length)
{
    std::unique_lock lock{mutex_};
    return !wake_.wait_for(lock, length, [this] { return stopping_; });
}

std::chrono::milliseconds document_watcher::next_delay()
{
    const auto jitter = environment_.random.below(static_cast<std::uint64_t>(delay_.count()));
    const auto wait = delay_ / 2 + std::chrono::milliseconds{jitter};
    delay_ = std::min(delay_ * 2, longest_delay);
    return wait;
}

} // namespace savorywheel
