#ifndef SAVORYWHEEL_QUOTA_SHARD_COORDINATOR_HPP
#define SAVORYWHEEL_QUOTA_SHARD_COORDINATOR_HPP

#include <savorywheel/distribution/lease_manager.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/quota/quota_ledger.hpp>
#include <savorywheel/quota/suspension_detector.hpp>

#include <cstdint>
#include <memory>
#include <optional>

namespace savorywheel {

/**
 * @brief Coordinates a shard of the tenants while it holds the shard's lease.
 * @warning Control thread only.
 */
class shard_coordinator {
public:
    /** @brief Dependencies; all must outlive the coordinator. */
    struct environment {
        lease_manager::environment leases;
        event_log& log;
    };

    /** @param self Record that this node writes into the lease. */
    shard_coordinator(std::uint32_t shard, const lease_record& self, environment env);

    /** @brief Competes for the lease, or stops to do so unless it holds it. */
    void compete(bool candidate);

    /** @brief Releases the lease. */
    void stop();

    /** @brief Checks the lease and forgets processes that have requested nothing for long. */
    void maintain();

    /** @return The answer to a request; std::nullopt if it is outdated. */
    [[nodiscard]] std::optional<quota_grant> answer(const quota_request& request,
                                                    const tenant_limits& limits);

    /** @return True if this node may grant tokens at this moment. */
    [[nodiscard]] bool coordinates();

private:
    void on_lease(bool held);
    void begin(duration wait);
    [[nodiscard]] network_endpoint hint() const;

    std::uint32_t shard_;
    lease_record self_;
    environment environment_;
    suspension_detector suspension_;
    std::optional<quota_ledger> ledger_;
    /** Never replaced, because queued calls to the object store may refer to it. */
    lease_manager lease_;
};

} // namespace savorywheel

#endif
