#ifndef SAVORYWHEEL_TRANSPORT_TRAFFIC_CLASS_HPP
#define SAVORYWHEEL_TRANSPORT_TRAFFIC_CLASS_HPP

#include <savorywheel/transport/frame_kind.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace savorywheel {

/** @brief Purpose of bytes between nodes, for accounting. */
enum class traffic_class : std::uint8_t {
    probe,      /**< Datagrams of the failure detector, with news about members. */
    heartbeat,  /**< Signs of life on streams. */
    call,       /**< Callers' requests and their answers. */
    commit,     /**< Configuration. */
    membership, /**< Full exchanges of member records. */
    floor,      /**< Lowest usable versions, kept for peers. */
    evidence,   /**< Results of calls, and withdrawals, for rollouts. */
    last_class = evidence
};

/** @brief Number of traffic classes. */
inline constexpr std::size_t traffic_class_count =
    static_cast<std::size_t>(traffic_class::last_class) + 1;

/** @return The class of a frame. */
[[nodiscard]] traffic_class traffic_class_of(frame_kind kind) noexcept;

/** @return The class's name in lower case, for metrics. */
[[nodiscard]] std::string_view to_string(traffic_class item) noexcept;

} // namespace savorywheel

#endif
