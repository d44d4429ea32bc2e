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
 * @brief Applies commits from the object store and from peers, and forwards them.
 *
 * Commits are pushed down a tree of the failure domain's members. A lost push is detected by the
 * versions in membership messages and repaired by fetching from the peer that is ahead.
 * @warning Control thread only, except on_frame() and on_closed().
 */
class distributor final : public frame_handler {
public:
    /** @brief Dependencies; all must outlive the distributor. */
    struct environment {
        control_loop& loop;
        /** @brief Limits the events that peers can queue. */
        event_quota& quota;
        /** @brief Source of the fetch jitter. */
        random_source& random;
        /** @brief Connections to peers. */
        peer_network& network;
        request_client& requests;
        configuration_listener& listener;
        /** @brief Returns the current member table. */
        std::function<const member_table&()> members;
    };

    /**
     * @param self Id of this node.
     * @param domain Failure domain of this node.
     */
    distributor(node_id self, failure_domain domain, environment env);

    /** @brief Applies commits read from or written to the store, and forwards them. */
    void apply_and_forward(const commit_batch_message& batch);

    /** @brief Applies commits read from the store at startup; does not forward them. */
    void apply_without_forwarding(const commit_batch_message& batch);

    /** @brief Reports the version of a peer; schedules a fetch from it if this node is behind. */
    void on_peer_version(const network_endpoint& peer, config_version head);

    [[nodiscard]] const commit_log& log() const noexcept { return log_; }

    void on_frame(const std::shared_ptr<frame_sink>& connection, frame_kind kind,
                  std::uint64_t correlation, std::span<const std::byte> payload) override;
    void on_closed(const frame_sink& connection, bool established) override;

private:
    /** Applies a batch and forwards it down the root's tree; an empty root does not forward. */
    void apply(const node_id& root, const commit_batch_message& batch);
    void forward(const node_id& root, const commit_batch_message& batch);
    void respond_to_fetch(const std::shared_ptr<frame_sink>& connection, std::uint64_t correlation,
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
