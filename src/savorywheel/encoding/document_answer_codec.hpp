#ifndef SAVORYWHEEL_ENCODING_DOCUMENT_ANSWER_CODEC_HPP
#define SAVORYWHEEL_ENCODING_DOCUMENT_ANSWER_CODEC_HPP

#include <savorywheel/core/outcome.hpp>
#include <savorywheel/distribution/document_answer.hpp>

#include <cstddef>
#include <span>
#include <vector>

namespace savorywheel {

/** @brief Largest answer after decompression: as much as a frame may contain. */
inline constexpr std::size_t max_document_answer_bytes = std::size_t{16} * 1024 * 1024;

/** @brief Encodes an answer, compressed if that is smaller. */
[[nodiscard]] std::vector<std::byte> encode_document_answer(const document_answer& answer);

/**
 * @brief Decodes an answer.
 * @param bytes The encoded answer; untrusted, as it may come from a faulty peer.
 * @return The answer; malformed if the bytes are not exactly one, or one that is too large.
 */
[[nodiscard]] outcome<document_answer> decode_document_answer(std::span<const std::byte> bytes);

} // namespace savorywheel

#endif
