#ifndef SAVORYWHEEL_NODE_DEPARTURE_COPIES_HPP
#define SAVORYWHEEL_NODE_DEPARTURE_COPIES_HPP

#include <savorywheel/core/event_quota.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/membership/member_table.hpp>
#include <savorywheel/node/departure_copy_table.hpp>
#include <savorywheel/node/peer_delivery.hpp>
#include <savorywheel/traffic/departure_copy.hpp>
#include <savorywheel/transport/frame_handler.hpp>

#include <functional>
#include <memory>
#include <span>

namespace savorywheel {

/**
 * @brief Keeps departures at other nodes while the platform's store does not.
 *
 * A node copies its departures to replicas in several failure domains, and keeps the copies of
 * other nodes. When a node returns, its replicas send it what they keep.
 * @warning Call all members on the control thread, except on_frame() and on_closed().
 */
class departure_copies final : public frame_handler {
public:
    using callback = std::function<void()>;
    /** @brief Receives departures of this node that a replica has kept. */
    using returned_callback = std::function<void(std::span<const backend_departure>)>;

    /** @brief Dependencies; all must outlive the object. */
    struct environment {
        /** @brief Event loop of the control thread. */
        control_loop& loop;
        /** @brief Limits events queued by peers. */
        event_quota& quota;
        /** @brief Connections to peers. */
        peer_network& network;
        request_client& requests;
        event_log& log;
        /** @brief Returns the current member table. */
        std::function<const member_table&()> members;
        /** @brief Returns the record of this node. */
        std::function<const member_record&()> self;
    };

    /**
     * @param env Dependencies.
     * @param returned Called for each copy that a replica sends back.
     */
    departure_copies(environment env, returned_callback returned);

    /**
     * @brief Copies the departures of this node to its replicas.
     * @param departures All that are known.
     * @param copied Called at most once, when so many replicas have them that one may be lost.
     */
    void copy(std::span<const backend_departure> departures, const callback& copied);

    /** @brief Sends a member the departures that this node keeps for it. */
    void on_member_changed(const member_update& update);

    void on_frame(const std::shared_ptr<frame_sink>& connection, frame_kind kind,
                  std::uint64_t correlation, std::span<const std::byte> payload) override;
    void on_closed(const frame_sink& connection, bool established) override;

private:
    void receive(const departure_copy& message);

    environment environment_;
    returned_callback returned_;
    peer_delivery delivery_;
    departure_copy_table kept_;
};

} // namespace savorywheel

#endif
