#ifndef SAVORYWHEEL_TRANSPORT_TRAFFIC_CLASS_HPP
#define SAVORYWHEEL_TRANSPORT_TRAFFIC_CLASS_HPP

#include <savorywheel/transport/frame_kind.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace savorywheel {

/** @brief Category of traffic between nodes, for accounting. */
enum class traffic_class : std::uint8_t {
    probe,      /**< Datagrams of the failure detector, with gossip about members. */
    heartbeat,  /**< Heartbeats on connections. */
    call,       /**< Callers' requests and their responses. */
    commit,     /**< Commits and configuration. */
    membership, /**< Full synchronization of member records. */
    floor,      /**< Version floors stored at replicas. */
    evidence,   /**< Call results and withdrawal notices for rollouts. */
    last_class = evidence
};

/** @brief Number of traffic classes. */
inline constexpr std::size_t traffic_class_count =
    static_cast<std::size_t>(traffic_class::last_class) + 1;

/** @return The class of a frame. */
[[nodiscard]] traffic_class traffic_class_of(frame_kind kind) noexcept;

/** @return The name in lower case, for metrics. */
[[nodiscard]] std::string_view to_string(traffic_class item) noexcept;

} // namespace savorywheel

#endif
