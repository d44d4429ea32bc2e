#ifndef SAVORYWHEEL_TRAFFIC_CRASHING_REQUEST_TRACKER_HPP
#define SAVORYWHEEL_TRAFFIC_CRASHING_REQUEST_TRACKER_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/traffic/crash_report.hpp>

#include <map>
#include <utility>
#include <vector>

namespace savorywheel {

/**
 * @brief Tracks requests that were running when a backend server crashed ("queries of death").
 *
 * A request that was running during two crashes is blocked for 10 minutes after the last one. One
 * that was answered before probably ran beside the request at fault, and is blocked after the third
 * crash. A complete response to a call that started after a crash removes that crash.
 */
class crashing_request_tracker {
public:
    /** @brief Adds a crash; duplicates of a report are counted once. */
    void add(const crash_report& report, monotonic_time now);

    /**
     * @brief Removes the crashes that a complete response shows not to be due to the request.
     * @param started Start of the call that got the response; later crashes are kept.
     */
    void clear(request_digest digest, monotonic_time started);

    /** @return True if the request must be refused. */
    [[nodiscard]] bool is_blocked(request_digest digest, monotonic_time now) const;

    /** @return Reports of the tracked crashes of a service's backend servers. */
    [[nodiscard]] std::vector<crash_report> reports_of(const service_name& service,
                                                       monotonic_time now) const;

    /** @return Number of tracked requests. */
    [[nodiscard]] std::size_t size() const noexcept { return requests_.size(); }

private:
    struct crash {
        monotonic_time at;
        bool answered_before{};
    };
    struct tracked_request {
        /** Reported crashes by node and identity. */
        std::map<std::pair<node_id, std::uint64_t>, crash> crashes;
        service_name service;
        monotonic_time last;
    };

    void evict_old(monotonic_time now);

    std::map<request_digest, tracked_request> requests_;
};

} // namespace savorywheel

#endif
