#include <savorywheel/core/thread_name.hpp>
#include <savorywheel/distribution/document_watcher.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace savorywheel {

namespace {

/** The store ends a watch after 30 s. */
constexpr std::chrono::milliseconds max_watch_wait{25'000};
/** Spreads the renewals of the nodes, which all start a watch after a change. */
constexpr std::chrono::milliseconds max_wait_jitter{5000};
/**
 * A watch returns each change since its revision, and each may be the whole configuration. After a
 * longer time without a watch, the newest objects are listed instead.
 */
constexpr std::chrono::seconds max_idle_time{10};
constexpr std::chrono::milliseconds min_retry_delay{100};
constexpr std::chrono::milliseconds max_retry_delay{1000};

} // namespace

document_watcher::document_watcher(std::string prefix, environment env)
    : prefix_{std::move(prefix)}, environment_{std::move(env)}, retry_delay_{min_retry_delay}
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
        cancel_watch();
    }
    wake_.notify_all();
}

void document_watcher::set_watching(bool watching, std::chrono::milliseconds batch_window)
{
    {
        const std::scoped_lock lock{mutex_};
        watching_ = watching;
        batch_window_ = batch_window;
        if (!watching) {
            cancel_watch();
        }
    }
    wake_.notify_all();
}

void document_watcher::renew()
{
    const std::scoped_lock lock{mutex_};
    if (watch_) {
        cancel_watch();
        reread_ = true;
    }
}

void document_watcher::cancel_watch()
{
    if (watch_) {
        watch_->cancel();
    }
}

bool document_watcher::wait_for_work()
{
    const auto idle_since = environment_.time.now();
    std::unique_lock lock{mutex_};
    wake_.wait(lock, [this] { return stopping_ || watching_ || !revision_; });
    if (environment_.time.now() - idle_since > max_idle_time) {
        revision_.reset();
    }
    return !stopping_;
}

void document_watcher::run()
{
    set_thread_name("document-watch");
    while (wait_for_work()) {
        const auto answered = revision_ ? follow() : read();
        if (answered && !*answered) {
            continue;
        }
        environment_.health(answered);
        if (!pause(answered ? batch_window() : next_retry_delay())) {
            return;
        }
    }
}

outcome<bool> document_watcher::read()
{
    auto listed = environment_.store.list(prefix_, {});
    if (!listed) {
        return listed.reason();
    }
    revision_ = listed->revision;
    retry_delay_ = min_retry_delay;
    deliver(std::move(*listed));
    return true;
}

outcome<bool> document_watcher::follow()
{
    const auto started = environment_.time.now();
    const auto cancel_signal = std::make_shared<cancellation>();
    {
        const std::scoped_lock lock{mutex_};
        if (!watching_ || stopping_) {
            return false;
        }
        watch_ = cancel_signal;
    }
    auto listed =
        environment_.store.watch_until_cancelled(prefix_, *revision_, next_wait(), *cancel_signal);
    {
        const std::scoped_lock lock{mutex_};
        watch_.reset();
        if (!listed && std::exchange(reread_, false)) {
            revision_.reset();
        }
    }
    if (!listed && cancel_signal->cancelled()) {
        return false;
    }
    if (!listed) {
        // If the store has compacted this revision, only a full list returns the newest values.
        const auto revision = *std::exchange(revision_, std::nullopt);
        switch (listed.reason().code) {
        case failure_code::not_found:
            return true;
        case failure_code::timeout:
            log_silence(started, revision);
            return false;
        default:
            return listed.reason();
        }
    }
    revision_ = std::max(*revision_, listed->revision);
    retry_delay_ = min_retry_delay;
    deliver(std::move(*listed));
    return true;
}

std::chrono::milliseconds document_watcher::next_wait()
{
    const auto jitter =
        environment_.random.below(static_cast<std::uint64_t>(max_wait_jitter.count()));
    return max_watch_wait - std::chrono::milliseconds{jitter};
}

void document_watcher::log_silence(monotonic_time started, std::uint64_t revision)
{
    const auto waited =
        std::chrono::duration_cast<std::chrono::milliseconds>(environment_.time.now() - started);
    const std::array fields{log_field{"watch", prefix_},
                            log_field{"revision", std::to_string(revision)},
                            log_field{"waited_ms", std::to_string(waited.count())}};
    environment_.log.write_decision(event_id::watch_silent, prefix_, fields);
}

void document_watcher::deliver(object_list listed)
{
    std::map<std::string, stored_object> newest;
    for (auto& object : listed.objects) {
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

std::chrono::milliseconds document_watcher::batch_window()
{
    const std::scoped_lock lock{mutex_};
    return batch_window_;
}

bool document_watcher::pause(std::chrono::milliseconds length)
{
    std::unique_lock lock{mutex_};
    return !wake_.wait_for(lock, length, [this] { return stopping_; });
}

std::chrono::milliseconds document_watcher::next_retry_delay()
{
    const auto jitter = environment_.random.below(static_cast<std::uint64_t>(retry_delay_.count()));
    const auto wait = retry_delay_ / 2 + std::chrono::milliseconds{jitter};
    retry_delay_ = std::min(retry_delay_ * 2, max_retry_delay);
    return wait;
}

} // namespace savorywheel
