#ifndef SAVORYWHEEL_DISTRIBUTION_FLOOR_SERVICE_HPP
#define SAVORYWHEEL_DISTRIBUTION_FLOOR_SERVICE_HPP

#include <savorywheel/core/event_quota.hpp>
#include <savorywheel/distribution/floor_coordinator.hpp>
#include <savorywheel/distribution/floor_table.hpp>
#include <savorywheel/transport/peer_network.hpp>
#include <savorywheel/transport/request_client.hpp>

#include <functional>

namespace savorywheel {

/**
 * @brief Replicates this node's version floor to peers and stores the floors of other nodes.
 * @warning Control thread only, except on_frame() and on_closed().
 */
class floor_service final : public frame_handler, public floor_transport {
public:
    /** @brief Dependencies; all must outlive the service. */
    struct environment {
        control_loop& loop;
        /** @brief Limits the events that peers can queue. */
        event_quota& quota;
        /** @brief Source of the jitter between store reads. */
        random_source& random;
        /** @brief Connections to peers. */
        peer_network& network;
        request_client& requests;
        floor_listener& listener;
        /** @brief Returns the current member table. */
        std::function<const member_table&()> members;
        /** @brief Returns the record of this node. */
        std::function<const member_record&()> self;
        /** @brief Returns true once this node has exchanged member records. */
        std::function<bool()> joined;
        /** @brief Called with the version of a member that sent its floor. */
        std::function<void(const node_id&, config_version)> on_member_version;
        /** @brief Starts a read of the log in the object store. */
        std::function<void()> read_store;
    };

    /** @param standalone True if no seeds are configured; a sole member then needs no replicas. */
    floor_service(bool standalone, environment env);

    [[nodiscard]] floor_coordinator& coordinator() noexcept { return coordinator_; }

    void on_frame(const std::shared_ptr<frame_sink>& connection, frame_kind kind,
                  std::uint64_t correlation, std::span<const std::byte> payload) override;
    void on_closed(const frame_sink& connection, bool established) override;
    void put_floor(const member_record& replica, const floor_message& floor) override;
    void get_floor(const member_record& replica, const node_id& node) override;
    void read_store_head() override;

private:
    void store_floor(const std::shared_ptr<frame_sink>& connection, std::uint64_t correlation,
                     const floor_message& floor);
    void send_floor(const std::shared_ptr<frame_sink>& connection, std::uint64_t correlation,
                    const node_id& node);
    void request(const member_record& replica, frame_kind kind, const floor_message& message,
                 std::function<void(const floor_message&)> done);

    environment environment_;
    floor_table floors_;
    floor_coordinator coordinator_;
};

} // namespace savorywheel

#endif
