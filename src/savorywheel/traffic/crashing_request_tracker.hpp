#ifndef SAVORYWHEEL_TRAFFIC_CRASHING_REQUEST_TRACKER_HPP
#define SAVORYWHEEL_TRAFFIC_CRASHING_REQUEST_TRACKER_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/traffic/crash_report.hpp>

#include <map>
#include <set>
#include <utility>

namespace savorywheel {

/**
 * @brief Remembers which requests ran when backend servers crashed, for a while.
 *
 * A request that ran during two crashes is refused. A whole answer clears it.
 */
class crashing_request_tracker {
public:
    /** @brief Counts a crash; the same report counts once. */
    void add(const crash_report& report, monotonic_time now);

    /** @brief Notes that a request was answered, so that it does not crash what runs it. */
    void clear(request_digest digest) noexcept { requests_.erase(digest); }

    /** @return True if the request must be refused. */
    [[nodiscard]] bool is_blocked(request_digest digest, monotonic_time now) const;

    /** @return Requests that are remembered. */
    [[nodiscard]] std::size_t size() const noexcept { return requests_.size(); }

private:
    struct tracked_request {
        std::set<std::pair<node_id, std::uint64_t>> crashes;
        monotonic_time last;
    };

    void evict_old(monotonic_time now);

    std::map<request_digest, tracked_request> requests_;
};

} // namespace savorywheel

#endif
