#ifndef SAVORYWHEEL_NODE_QUOTA_SERVICE_HPP
#define SAVORYWHEEL_NODE_QUOTA_SERVICE_HPP

#include <savorywheel/core/event_quota.hpp>
#include <savorywheel/core/outcome.hpp>
#include <savorywheel/quota/quota_coordinator.hpp>
#include <savorywheel/quota/quota_exchange.hpp>
#include <savorywheel/quota/quota_request_sink.hpp>
#include <savorywheel/transport/datagram_channel.hpp>

namespace savorywheel {

/**
 * @brief Passes the messages about quotas between this node's traffic thread, its coordinators and
 * those of other nodes.
 * @warning Call all members on the control thread, except on_datagram() and request().
 */
class quota_service final : public quota_request_sink {
public:
    /** @brief Dependencies; all must outlive the service. */
    struct environment {
        /** @brief Event loop of the control thread. */
        control_loop& loop;
        /** @brief Limits events queued by peers. */
        event_quota& quota;
        datagram_channel& datagrams;
        /** @brief Receives the grants for this node. */
        quota_grant_sink& grants;
        quota_coordinator::environment coordinators;
    };

    /**
     * @param settings Settings of the quotas.
     * @param self Record that this node writes into leases.
     */
    quota_service(const quota_settings& settings, const lease_record& self, environment env);

    /** @brief Begins to compete for leases. */
    void start() { coordinator_.start(); }

    /** @brief Releases all leases. */
    void stop() { coordinator_.stop(); }

    /** @return True if a datagram is a message about quotas. */
    [[nodiscard]] static bool handles(std::span<const std::byte> payload) noexcept;

    /**
     * @brief Decodes and queues a datagram; may be called from any thread.
     * @return Failure with code `malformed` if it is no message about quotas, or `overload` if it
     * was dropped; true otherwise.
     */
    outcome<bool> on_datagram(std::span<const std::byte> payload);

    void request(std::uint32_t shard, std::vector<quota_request_item> items,
                 duration sent_at) override;

private:
    [[nodiscard]] quota_exchange::environment exchange_environment();
    outcome<bool> queue(std::size_t bytes, control_loop::event task);
    void answer(const quota_request& request);
    void send(const network_endpoint& peer, const quota_request& request);

    environment environment_;
    network_endpoint self_;
    quota_coordinator coordinator_;
    quota_exchange exchange_;
};

} // namespace savorywheel

#endif
