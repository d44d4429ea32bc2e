#ifndef SAVORYWHEEL_QUOTA_QUOTA_REQUEST_SINK_HPP
#define SAVORYWHEEL_QUOTA_QUOTA_REQUEST_SINK_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/quota/quota_request_item.hpp>

#include <cstdint>
#include <vector>

namespace savorywheel {

/** @brief Receives what the traffic thread requests from the coordinators of tenants. */
class quota_request_sink {
public:
    quota_request_sink() = default;
    quota_request_sink(const quota_request_sink&) = delete;
    quota_request_sink& operator=(const quota_request_sink&) = delete;
    quota_request_sink(quota_request_sink&&) = delete;
    quota_request_sink& operator=(quota_request_sink&&) = delete;
    virtual ~quota_request_sink() = default;

    /**
     * @brief Requests tokens; answered by exactly one call of the quota_grant_sink. Thread-safe.
     * @param items At most max_quota_items tenants of the shard.
     * @param sent_at Time of the request, since the start of the VM.
     */
    virtual void request(std::uint32_t shard, std::vector<quota_request_item> items,
                         duration sent_at) = 0;
};

} // namespace savorywheel

#endif
