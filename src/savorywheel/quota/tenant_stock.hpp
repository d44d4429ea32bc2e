#ifndef SAVORYWHEEL_QUOTA_TENANT_STOCK_HPP
#define SAVORYWHEEL_QUOTA_TENANT_STOCK_HPP

#include <savorywheel/quota/demand_estimate.hpp>
#include <savorywheel/quota/quota_grant_item.hpp>
#include <savorywheel/quota/quota_request_item.hpp>
#include <savorywheel/quota/token_lots.hpp>
#include <savorywheel/traffic/quota_token.hpp>

#include <cstdint>
#include <optional>

namespace savorywheel {

/**
 * @brief Tokens of one tenant at this node, and what its coordinator has not been told yet.
 *
 * All times are since the start of the VM.
 */
class tenant_stock {
public:
    /** @brief Counts a request, and takes a token for it if there is one. */
    [[nodiscard]] std::optional<quota_token> take(duration now) noexcept;

    /** @brief Takes a token for a request that has been counted. */
    [[nodiscard]] std::optional<quota_token> take_for_waiting(duration now) noexcept;

    /** @brief Returns the token of a request that was not run. */
    void put_back(const quota_token& token, duration now) noexcept;

    /** @return True if a request for tokens should be sent soon. */
    [[nodiscard]] bool is_low(duration now) noexcept;

    /**
     * @brief Fills a request, which must be answered or abandoned before the next one.
     * @param waiting Requests that wait for a token.
     */
    [[nodiscard]] quota_request_item report(std::uint64_t tenant, std::uint32_t waiting,
                                            duration now) noexcept;

    /**
     * @brief Takes in the answer to the last report.
     * @param sent_at Time at which the request with the report was sent first.
     */
    void receive(const quota_grant_item& grant, duration sent_at, duration now) noexcept;

    /** @return When the quota has a token again, if the coordinator said that it has none. */
    [[nodiscard]] duration exhausted_until() const noexcept { return exhausted_until_; }

    /** @return Until when requests are refused without asking the coordinator again. */
    [[nodiscard]] duration refused_until() const noexcept { return refused_until_; }

    /** @return True if a token was used since the last report. */
    [[nodiscard]] bool unreported() const noexcept { return used_ > reported_used_; }

    /** @return Valid tokens. */
    [[nodiscard]] std::uint32_t count(duration now) noexcept { return lots_.count(now); }

private:
    [[nodiscard]] double target(duration now) const noexcept;

    token_lots lots_;
    demand_estimate demand_;
    duration exhausted_until_{};
    duration refused_until_{};
    std::uint64_t reports_{};
    /** Used since the last report that was answered. */
    std::uint32_t used_{};
    /** Part of used_ that the last report contains. */
    std::uint32_t reported_used_{};
    std::uint32_t not_run_{};
};

} // namespace savorywheel

#endif
