#ifndef SAVORYWHEEL_QUOTA_QUOTA_EXCHANGE_HPP
#define SAVORYWHEEL_QUOTA_QUOTA_EXCHANGE_HPP

#include <savorywheel/core/timer_service.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/quota/quota_grant.hpp>
#include <savorywheel/quota/quota_grant_sink.hpp>
#include <savorywheel/quota/quota_request.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace savorywheel {

/**
 * @brief Sends requests for tokens to the coordinators, and finds these.
 *
 * Has at most one request per shard under way, so that a report of what this node holds follows all
 * earlier grants.
 * @warning Control thread only.
 */
class quota_exchange {
public:
    /** @brief Dependencies; all must outlive the exchange. */
    struct environment {
        timer_service& timers;
        /** @brief Sends a request. */
        std::function<void(const network_endpoint& peer, const quota_request& request)> send;
        /** @brief Returns the endpoints of the nodes that may coordinate a shard. */
        std::function<std::vector<network_endpoint>(std::uint32_t shard)> candidates;
        quota_grant_sink& grants;
        event_log& log;
    };

    /**
     * @param shards Number of shards of the tenants.
     * @param self Endpoint of this node.
     * @param session Random number of this process.
     */
    quota_exchange(std::uint32_t shards, network_endpoint self, std::uint64_t session,
                   environment env);

    /**
     * @brief Sends a request until it is answered or has failed.
     * @param sent_at Time of the request, since the start of the VM.
     */
    void request(std::uint32_t shard, std::vector<quota_request_item> items, duration sent_at);

    /** @brief Takes in an answer. */
    void receive(const quota_grant& grant);

private:
    struct shard_state {
        std::uint64_t sequence{};
        std::optional<quota_request> open;
        duration sent_at{};
        unsigned attempts{};
        unsigned redirections{};
        /** The node that granted last, or that another node named; port 0 if unknown. */
        network_endpoint coordinator;
        network_endpoint asked;
        std::uint64_t last_ledger{};
        std::uint32_t last_time_ms{};
        bool unreachable{};
        subscription timer;
    };

    void attempt(std::uint32_t shard);
    void send(std::uint32_t shard, const network_endpoint& peer);
    void redirect(std::uint32_t shard, const network_endpoint& peer);
    void finish(std::uint32_t shard, const quota_grant& grant);
    void fail(std::uint32_t shard);
    void set_unreachable(std::uint32_t shard, bool unreachable);

    network_endpoint self_;
    std::uint64_t session_;
    environment environment_;
    std::vector<shard_state> shards_;
};

} // namespace savorywheel

#endif
