#ifndef SAVORYWHEEL_TRAFFIC_CRASH_SUSPECTS_HPP
#define SAVORYWHEEL_TRAFFIC_CRASH_SUSPECTS_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/traffic/crash_report.hpp>

#include <map>
#include <set>
#include <utility>

namespace savorywheel {

/**
 * @brief Tracks requests that were running when a backend server crashed ("queries of death").
 *
 * A request that was running during two crashes is blocked for 10 minutes after the last one. A
 * complete response removes it.
 */
class crash_suspects {
public:
    /** @brief Adds a crash; duplicates of a report are counted once. */
    void add(const crash_report& report, monotonic_time now);

    /** @brief Removes a request that got a complete response. */
    void clear(request_digest digest) noexcept { suspects_.erase(digest); }

    /** @return True if the request must be refused. */
    [[nodiscard]] bool blocked(request_digest digest, monotonic_time now) const;

    /** @return Number of tracked requests. */
    [[nodiscard]] std::size_t size() const noexcept { return suspects_.size(); }

private:
    struct suspect {
        std::set<std::pair<node_id, std::uint64_t>> crashes;
        monotonic_time last;
    };

    void make_room(monotonic_time now);

    std::map<request_digest, suspect> suspects_;
};

} // namespace savorywheel

#endif
