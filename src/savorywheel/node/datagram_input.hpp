#ifndef SAVORYWHEEL_NODE_DATAGRAM_INPUT_HPP
#define SAVORYWHEEL_NODE_DATAGRAM_INPUT_HPP

#include <savorywheel/core/event_quota.hpp>
#include <savorywheel/core/outcome.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <cstddef>
#include <span>
#include <utility>

namespace savorywheel {

/**
 * @brief Decodes a datagram and queues it for the control thread; thread-safe.
 * @tparam Message Type of the message.
 * @param quota Limits events queued by peers.
 * @param payload Encoded message.
 * @param receive Called with the message on the control thread.
 * @return Failure with code `malformed` or `overload` if it was dropped; true otherwise.
 */
template<typename Message, typename Function>
[[nodiscard]] outcome<bool> post_datagram(event_quota& quota, std::span<const std::byte> payload,
                                          Function receive)
{
    auto message = decode<Message>(payload);
    if (!message) {
        return message.reason();
    }
    const bool queued =
        quota.post(payload.size(), [receive, item = std::move(*message)] { receive(item); });
    return queued ? outcome<bool>{true}
                  : failure{failure_code::overload, "event queue full; datagram dropped"};
}

} // namespace savorywheel

#endif
