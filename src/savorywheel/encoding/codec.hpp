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
 * @brief Encodes a message in the binary format of the peer protocol.
 * @tparam Message A type that a *_codec.cpp file instantiates this template for.
 */
template<typename Message>
[[nodiscard]] std::vector<std::byte> encode(const Message& message);

/**
 * @brief Decodes a message that encode() wrote.
 * @tparam Message A type that a *_codec.cpp file instantiates this template for.
 * @param bytes The encoded message; untrusted, as it may come from a faulty peer.
 * @return The message; malformed if the bytes are not exactly one message.
 */
template<typename Message>
[[nodiscard]] outcome<Message> decode(std::span<const std::byte> bytes);

/**
 * @brief Encodes a message as JSON for the platform's store and for operators.
 * @tparam Message A type that a *_codec.cpp file instantiates this template for.
 */
template<typename Message>
[[nodiscard]] std::string encode_json(const Message& message);

/**
 * @brief Decodes a message that encode_json() wrote.
 * @tparam Message A type that a *_codec.cpp file instantiates this template for.
 * @param text The JSON text; untrusted, as operators may edit it.
 * @return The message; malformed if the text is not JSON, lacks a field or is nested too deeply.
 */
template<typename Message>
[[nodiscard]] outcome<Message> decode_json(std::string_view text);

} // namespace savorywheel

#endif
