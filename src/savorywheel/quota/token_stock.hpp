#ifndef SAVORYWHEEL_QUOTA_TOKEN_STOCK_HPP
#define SAVORYWHEEL_QUOTA_TOKEN_STOCK_HPP

#include <savorywheel/quota/tenant_stock.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace savorywheel {

/**
 * @brief Tokens of all tenants at this node, and what to request for them from each shard.
 *
 * Only tenants with requests take part in anything. Allocates only for the first request of a
 * tenant. All times are since the start of the VM.
 * @warning Not thread-safe.
 */
class token_stock {
public:
    /** @param shards Number of shards of the tenants. */
    explicit token_stock(std::uint32_t shards) : lists_(shards), reports_(shards) {}

    /**
     * @brief Counts a request, and takes a token for it if there is one.
     * @param tenant tenant_entry::id.
     */
    [[nodiscard]] std::optional<quota_token> take(std::uint64_t tenant, duration now);

    /** @brief Takes a token for a request that waits, and ends its wait if there is one. */
    [[nodiscard]] std::optional<quota_token> take_for_waiting(std::uint64_t tenant, duration now);

    /** @brief Counts a request that waits for a token. */
    void begin_wait(std::uint64_t tenant);

    /** @brief Counts a request that ended its wait without a token. */
    void end_wait(std::uint64_t tenant);

    /** @brief Returns the token of a request that was not run. */
    void put_back(std::uint64_t tenant, const quota_token& token, duration now);

    /** @return When the tenant's quota has a token again; a time in the past if it may have one. */
    [[nodiscard]] duration exhausted_until(std::uint64_t tenant) const;

    /** @return Until when the tenant's requests are refused without asking the coordinator again.
     */
    [[nodiscard]] duration refused_until(std::uint64_t tenant) const;

    /** @return True if something should be requested from the shard. */
    [[nodiscard]] bool has_requests(std::uint32_t shard) const { return !lists_.at(shard).empty(); }

    /** @return What to request from the shard; must be answered before the next call. */
    [[nodiscard]] std::vector<quota_request_item> prepare(std::uint32_t shard, duration now);

    /**
     * @brief Takes in an answer to the last request to the shard of the tenants.
     * @param sent_at Time at which the request was sent first.
     */
    void receive(std::span<const quota_grant_item> grants, duration sent_at, duration now);

    /** @return Tokens at hand, with those of idle tenants that have expired. */
    [[nodiscard]] std::uint64_t size() const noexcept { return size_; }

    /** @return Shard of a tenant. */
    [[nodiscard]] std::uint32_t shard_of(std::uint64_t tenant) const noexcept
    {
        return static_cast<std::uint32_t>(tenant % lists_.size());
    }

private:
    struct entry {
        tenant_stock stock;
        std::uint32_t waiting{};
        /** True while the tenant is in the list of its shard. */
        bool listed{};
        /** True while the tenant is among the reports of its shard. */
        bool reported{};
        /** Part of size_. */
        std::uint32_t counted{};
    };

    void list(std::uint64_t tenant, entry& item);
    void list_report(std::uint64_t tenant, entry& item);
    void count(entry& item, duration now) noexcept;

    std::unordered_map<std::uint64_t, entry> entries_;
    /** Tenants for which to request tokens, by shard. */
    std::vector<std::vector<std::uint64_t>> lists_;
    /** Tenants whose use the coordinator has not heard of, by shard; sent with other requests. */
    std::vector<std::vector<std::uint64_t>> reports_;
    std::uint64_t size_{};
};

} // namespace savorywheel

#endif
