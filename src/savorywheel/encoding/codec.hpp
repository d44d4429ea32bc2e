#ifndef SAVORYWHEEL_ENCODING_CODEC_HPP
#define SAVORYWHEEL_ENCODING_CODEC_HPP

#include <savorywheel/core/outcome.hpp>

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywheel {

/**
 * @brief Encodes a message in binary form for other nodes.
 * @tparam Message One of the types instantiated in this module's source files.
 */
template<typename Message>
[[nodiscard]] std::vector<std::byte> encode(const Message& message);

/**
 * @brief Decodes a message of encode().
 * @tparam Message One of the types instantiated in this module's source files.
 * @param bytes The encoded message; it may come from a faulty peer.
 * @return malformed if the bytes are not exactly one message.
 */
template<typename Message>
[[nodiscard]] outcome<Message> decode(std::span<const std::byte> bytes);

/**
 * @brief Encodes a message as a JSON object for the platform's service and operators.
 * @tparam Message One of the types instantiated in this module's source files.
 */
template<typename Message>
[[nodiscard]] std::string encode_json(const Message& message);

/**
 * @brief Decodes a message of encode_json().
 * @tparam Message One of the types instantiated in this module's source files.
 * @param text The JSON text; it may have been edited by hand.
 * @return malformed if the text is not such an object.
 */
template<typename Message>
[[nodiscard]] outcome<Message> decode_json(std::string_view text);

} // namespace savorywheel

#endif
