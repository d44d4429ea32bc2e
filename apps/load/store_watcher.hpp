#ifndef SAVORYWHEEL_APPS_LOAD_STORE_WATCHER_HPP
#define SAVORYWHEEL_APPS_LOAD_STORE_WATCHER_HPP

#include <savorywheel/core/random_source.hpp>
#include <savorywheel/core/system_clock_source.hpp>
#include <savorywheel/distribution/commit_watcher.hpp>
#include <savorywheel/http/curl_http_client.hpp>
#include <savorywheel/store/http_object_store.hpp>

#include <standin/node/delayed_object_store.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <span>

namespace savorywheel::load {

/** @brief Watches the platform's store for commits, like a node without peers. */
class store_watcher {
public:
    /**
     * @param platform Endpoint of the store.
     * @param delay One-way delay to the store.
     * @param random Source for jitter; must outlive this object.
     */
    store_watcher(const network_endpoint& platform, duration delay, random_source& random);
    store_watcher(const store_watcher&) = delete;
    store_watcher& operator=(const store_watcher&) = delete;
    store_watcher(store_watcher&&) = delete;
    store_watcher& operator=(store_watcher&&) = delete;
    ~store_watcher() = default;

    /** @return Time at which this or a later version arrived; empty if none has yet. */
    [[nodiscard]] std::optional<calendar_time> received_at(config_version version) const;

    /** @return Bytes of the received commits in their stored JSON encoding. */
    [[nodiscard]] std::uint64_t bytes() const noexcept { return bytes_; }

private:
    void record(std::span<const commit> commits);

    system_clock_source time_;
    curl_http_client client_;
    http_object_store store_;
    standin::delayed_object_store delayed_;
    std::atomic<std::uint64_t> bytes_{};
    mutable std::mutex mutex_;
    std::map<config_version, calendar_time> received_;
    commit_watcher watcher_;
};

} // namespace savorywheel::load

#endif
