#ifndef SAVORYWHEEL_DISTRIBUTION_DISTRIBUTOR_HPP
#define SAVORYWHEEL_DISTRIBUTION_DISTRIBUTOR_HPP

#include <savorywheel/core/admission_limiter.hpp>
#include <savorywheel/core/event_quota.hpp>
#include <savorywheel/core/random_source.hpp>
#include <savorywheel/distribution/commit_log.hpp>
#include <savorywheel/distribution/commit_push_message.hpp>
#include <savorywheel/distribution/configuration_listener.hpp>
#include <savorywheel/membership/member_table.hpp>
#include <savorywheel/transport/peer_network.hpp>
#include <savorywheel/transport/request_client.hpp>

#include <functional>
#include <vector>

namespace savorywheel {

/**
 * @brief Takes commits from the platform's service and from peers, and passes them on.
 *
 * Commits go down a tree of the failure domain's members. A loss shows in the versions that
 * membership messages carry, and is mended by fetching from the peer that is ahead.
 * @warning All members are for the control thread, but for on_frame() and on_closed().
 */
class distributor final : public frame_handler {
public:
    /** @brief What the distributor works with; all must outlive it. */
    struct environment {
        /** @brief Control thread's events and timers. */
        control_loop& loop;
        /** @brief Bounds what peers can queue. */
        event_quota& quota;
        /** @brief Random numbers. */
        random_source& random;
        /** @brief Streams to peers. */
        peer_network& network;
        /** @brief Requests to peers. */
        request_client& requests;
        /** @brief Hears of new versions. */
        configuration_listener& listener;
        /** @brief Gives the member records. */
        std::function<const member_table&()> members;
    };

    /**
     * @param self This node.
     * @param domain Its failure domain.
     * @param env What the distributor works with.
     */
    distributor(node_id self, failure_domain domain, environment env);

    /** @brief Takes what this node read from the store, or wrote to it, and passes it on. */
    void apply_and_forward(const commit_batch_message& batch);

    /** @brief Takes what this node read from the store at its start, without passing it on. */
    void apply_without_forwarding(const commit_batch_message& batch);

    /** @brief Hears which version a peer has; fetches from it if this node is behind. */
    void on_peer_version(const network_endpoint& peer, config_version head);

    /** @return This node's copy of the log. */
    [[nodiscard]] const commit_log& log() const noexcept { return log_; }

    void on_frame(const std::shared_ptr<frame_sink>& source, frame_kind kind,
                  std::uint64_t correlation, std::span<const std::byte> payload) override;
    void on_closed(const frame_sink& source, bool established) override;

private:
    /** Applies a batch and passes it down the root's tree; a fetched one has no root. */
    void apply(const node_id& root, const commit_batch_message& batch);
    void forward(const node_id& root, const commit_batch_message& batch);
    void respond_to_fetch(const std::shared_ptr<frame_sink>& source, std::uint64_t correlation,
                          config_version after);
    void fetch();
    void end_fetch();
    void on_fetch_response(const request_client::response& answer);

    node_id self_;
    failure_domain domain_;
    environment environment_;
    commit_log log_;
    admission_limiter large_response_limiter_;
    config_version fetch_target_;
    network_endpoint fetch_peer_;
    bool fetching_{};
    std::uint64_t fetch_request_{};
    subscription fetch_timer_;
    config_version cached_after_;
    config_version cached_version_;
    std::vector<std::byte> cached_response_;
};

} // namespace savorywheel

#endif
