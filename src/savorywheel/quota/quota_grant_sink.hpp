#ifndef SAVORYWHEEL_QUOTA_QUOTA_GRANT_SINK_HPP
#define SAVORYWHEEL_QUOTA_QUOTA_GRANT_SINK_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/quota/quota_grant_item.hpp>

#include <cstdint>
#include <vector>

namespace savorywheel {

/** @brief Receives the answers to requests of the traffic thread; thread-safe. */
class quota_grant_sink {
public:
    quota_grant_sink() = default;
    quota_grant_sink(const quota_grant_sink&) = delete;
    quota_grant_sink& operator=(const quota_grant_sink&) = delete;
    quota_grant_sink(quota_grant_sink&&) = delete;
    quota_grant_sink& operator=(quota_grant_sink&&) = delete;
    virtual ~quota_grant_sink() = default;

    /**
     * @brief Takes in the decisions of the coordinator about a request.
     * @param sent_at Time at which the request was sent first, since the start of the VM.
     */
    virtual void on_grant(std::uint32_t shard, std::vector<quota_grant_item> items,
                          duration sent_at) = 0;

    /** @brief Called in place of on_grant() if no coordinator answered in time. */
    virtual void on_no_coordinator(std::uint32_t shard) = 0;
};

} // namespace savorywheel

#endif
