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
 * @brief Connects the decisions on floors to streams, and remembers the floors of other nodes.
 * @warning All members are for the control thread, but for on_frame() and on_closed().
 */
class floor_service final : public frame_handler, public floor_transport {
public:
    /** @brief What the service works with; all must outlive it. */
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
        /** @brief Hears the decisions. */
        floor_listener& listener;
        /** @brief Gives the member records. */
        std::function<const member_table&()> members;
        /** @brief Gives the record of this node. */
        std::function<const member_record&()> self;
        /** @brief True once this node has exchanged member records. */
        std::function<bool()> joined;
        /** @brief Hears which version a member has. */
        std::function<void(const node_id&, config_version)> on_member_version;
        /** @brief Reads the log's head in the store. */
        std::function<void()> read_store;
    };

    /**
     * @param standalone True if the node was given no other peer to join through.
     * @param env What the service works with.
     */
    floor_service(bool standalone, environment env);

    /** @return The decisions. */
    [[nodiscard]] floor_coordinator& coordinator() noexcept { return coordinator_; }

    void on_frame(const std::shared_ptr<frame_sink>& source, frame_kind kind,
                  std::uint64_t correlation, std::span<const std::byte> payload) override;
    void on_closed(const frame_sink& source, bool established) override;
    void put_floor(const member_record& replica, const floor_message& floor) override;
    void get_floor(const member_record& replica, const node_id& node) override;
    void read_store_head() override;

private:
    void store_floor(const std::shared_ptr<frame_sink>& source, std::uint64_t correlation,
                     const floor_message& floor);
    void send_floor(const std::shared_ptr<frame_sink>& source, std::uint64_t correlation,
                    const node_id& node);
    void request(const member_record& replica, frame_kind kind, const floor_message& message,
                 std::function<void(const floor_message&)> done);

    environment environment_;
    floor_table floors_;
    floor_coordinator coordinator_;
};

} // namespace savorywheel

#endif
