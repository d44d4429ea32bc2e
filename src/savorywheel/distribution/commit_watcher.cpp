#include <savorywheel/core/thread_name.hpp>
#include <savorywheel/distribution/commit_keys.hpp>
#include <savorywheel/distribution/commit_watcher.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

constexpr std::chrono::milliseconds watch_patience{2000};
constexpr std::chrono::milliseconds first_delay{100};
constexpr std::chrono::milliseconds longest_delay{1000};

} // namespace

commit_watcher::commit_watcher(object_store& store, random_source& random, commits_callback commits,
                               health_callback health)
    : store_{store}, random_{random}, commits_{std::move(commits)}, health_{std::move(health)},
      delay_{first_delay}
{
}

commit_watcher::~commit_watcher()
{
    stop();
}

void commit_watcher::start(config_version after)
{
    stop();
    stopping_ = false;
    thread_ = std::thread{[this, after] { run(after); }};
}

void commit_watcher::stop()
{
    {
        const std::scoped_lock lock{mutex_};
        stopping_ = true;
    }
    wake_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void commit_watcher::run(config_version after)
{
    name_this_thread("store-watch");
    auto position = after;
    std::uint64_t revision{};
    bool listed = false;
    while (true) {
        {
            const std::scoped_lock lock{mutex_};
            if (stopping_) {
                return;
            }
        }
        listed = listed ? follow(position, revision) : catch_up(position, revision);
        health_(listed);
        if (!listed) {
            back_off();
        }
    }
}

bool commit_watcher::catch_up(config_version& position, std::uint64_t& revision)
{
    const auto objects = store_.list(commit_prefix, commit_key(position));
    if (!objects) {
        return false;
    }
    deliver(*objects, position);
    revision = objects->revision;
    delay_ = first_delay;
    return true;
}

bool commit_watcher::follow(config_version& position, std::uint64_t& revision)
{
    const auto objects = store_.watch(commit_prefix, revision, watch_patience);
    if (!objects) {
        return false;
    }
    deliver(*objects, position);
    revision = std::max(revision, objects->revision);
    return true;
}

void commit_watcher::deliver(const object_list& objects, config_version& position)
{
    std::vector<commit> commits;
    for (const auto& object : objects.objects) {
        auto item = decode_json<commit>(object.value);
        if (item && item->version > position) {
            position = item->version;
            commits.push_back(std::move(*item));
        }
    }
    if (!commits.empty()) {
        commits_(std::move(commits));
    }
}

void commit_watcher::back_off()
{
    const auto jitter = random_.below(static_cast<std::uint64_t>(delay_.count()));
    const auto wait = delay_ / 2 + std::chrono::milliseconds{jitter};
    delay_ = std::min(delay_ * 2, longest_delay);
    std::unique_lock lock{mutex_};
    wake_.wait_for(lock, wait, [this] { return stopping_; });
}

} // namespace savorywheel
