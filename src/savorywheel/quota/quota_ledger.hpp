#ifndef SAVORYWHEEL_QUOTA_QUOTA_LEDGER_HPP
#define SAVORYWHEEL_QUOTA_QUOTA_LEDGER_HPP

#include <savorywheel/quota/quota_grant.hpp>
#include <savorywheel/quota/quota_request.hpp>
#include <savorywheel/quota/tenant_ledger.hpp>
#include <savorywheel/quota/tenant_limits.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace savorywheel {

/**
 * @brief Decides about the tokens of the tenants of a shard, while this node coordinates it.
 *
 * Begins with empty buckets, since it does not know what its predecessor issued. All times are
 * since the start of the VM.
 */
class quota_ledger {
public:
    /**
     * @param id Random number that no other ledger has.
     * @param start Time at which this node became the coordinator.
     * @param wait Time for which nothing is granted, since tokens of more than one earlier ledger
     * may be valid; zero if the predecessor was settled().
     */
    quota_ledger(std::uint64_t id, duration start, duration wait) noexcept
        : id_{id}, start_{start}, grants_from_{start + wait}
    {
    }

    /**
     * @brief Decides about a request; the same one again gets the same grant.
     * @param limits Limits of the configuration in force.
     * @return The grant; std::nullopt if a later request of the same process has been decided.
     */
    [[nodiscard]] std::optional<quota_grant> decide(const quota_request& request, duration now,
                                                    const tenant_limits& limits);

    /** @return True if no token of an earlier ledger is valid any more. */
    [[nodiscard]] bool settled(duration now) const noexcept
    {
        return now >= start_ + token_lifetime;
    }

    /** @brief Forgets processes that have requested nothing for a long time. */
    void forget_silent(duration now);

private:
    struct session_state {
        std::uint64_t sequence{};
        duration last_request{};
        quota_grant grant;
    };

    [[nodiscard]] quota_grant_item decide_item(std::uint64_t session,
                                               const quota_request_item& item,
                                               const tenant_ledger::circumstances& when,
                                               const tenant_limits& limits);
    [[nodiscard]] bool is_recent(const quota_request& request, duration now) const noexcept;

    std::uint64_t id_;
    duration start_;
    duration grants_from_;
    std::unordered_map<std::uint64_t, session_state> sessions_;
    /** Tenants that had a request; never erased, so that a removed tenant gains nothing by it. */
    std::unordered_map<std::uint64_t, tenant_ledger> tenants_;
};

} // namespace savorywheel

#endif
