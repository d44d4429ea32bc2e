#ifndef SAVORYWHEEL_QUOTA_SHARED_QUOTA_HPP
#define SAVORYWHEEL_QUOTA_SHARED_QUOTA_HPP

#include <savorywheel/core/scheduler.hpp>
#include <savorywheel/quota/quota_grant_sink.hpp>
#include <savorywheel/quota/quota_metrics.hpp>
#include <savorywheel/quota/quota_request_sink.hpp>
#include <savorywheel/quota/token_stock.hpp>
#include <savorywheel/traffic/tenant_quota.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace savorywheel {

/**
 * @brief Quotas of tenants over all nodes: decides with the tokens that coordinators grant.
 *
 * A request that finds no token waits for the next grant, at most 200 ms, unless the coordinator
 * said that the quota is used up, or no coordinator answers.
 * @warning Call all members on the traffic thread, except those of quota_grant_sink.
 */
class shared_quota final : public tenant_quota, public quota_grant_sink {
public:
    /** @brief Dependencies; all must outlive the quota. */
    struct environment {
        const clock& time;
        /** @brief Event loop of the traffic thread. */
        scheduler& loop;
        quota_metrics& metrics;
    };

    /** @param shards Number of shards of the tenants. */
    shared_quota(std::uint32_t shards, environment env)
        : environment_{env}, stock_{shards}, shards_(shards)
    {
    }

    /** @brief Sets the receiver of requests; call before any other member. */
    void connect(quota_request_sink& requests) noexcept { requests_ = &requests; }

    [[nodiscard]] std::optional<quota_token> try_acquire(const tenant_entry& tenant) override;
    void acquire(const tenant_entry& tenant, callback decided) override;
    void give_back(const tenant_entry& tenant, const quota_token& token) override;
    void on_grant(std::uint32_t shard, std::vector<quota_grant_item> items,
                  duration sent_at) override;
    void on_no_coordinator(std::uint32_t shard) override;

private:
    struct waiting_request {
        std::uint64_t tenant{};
        monotonic_time expires;
        callback decided;
    };

    struct shard_state {
        /** In the order of their arrival, and so of their expiry. */
        std::deque<waiting_request> waiting;
        bool request_open{};
        /** Requests without an answer since the last grant. */
        unsigned failures{};
        monotonic_time last_request{monotonic_time::min()};
        monotonic_time next_request{monotonic_time::max()};
        subscription request_timer;
        subscription expiry_timer;
    };

    /** True if requests need not wait, as no coordinator seems to answer. */
    [[nodiscard]] static bool unreachable(const shard_state& shard) noexcept;
    [[nodiscard]] quota_decision refusal(std::uint64_t tenant, duration now) const;
    void decide(const callback& decided, const quota_decision& decision);
    void schedule_request(std::uint32_t shard);
    void send_request(std::uint32_t shard);
    void schedule_expiry(std::uint32_t shard);
    /** Decides about the requests that need not wait any longer. */
    void settle(std::uint32_t shard);
    [[nodiscard]] std::optional<quota_decision> decision_of(const waiting_request& item,
                                                            const shard_state& shard);

    environment environment_;
    quota_request_sink* requests_{};
    token_stock stock_;
    std::vector<shard_state> shards_;
    std::size_t waiting_{};
};

} // namespace savorywheel

#endif
