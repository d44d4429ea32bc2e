#ifndef SAVORYWHEEL_CONFIG_KEY_DIGEST_HPP
#define SAVORYWHEEL_CONFIG_KEY_DIGEST_HPP

#include <array>
#include <cstdint>
#include <string_view>

namespace savorywheel {

/**
 * @brief Digest of an API key: the first 16 bytes of its SHA-256.
 *
 * The mesh keeps and exchanges only digests, so that no dump, log or message contains a key.
 */
struct key_digest {
    std::array<std::uint8_t, 16> bytes{};

    [[nodiscard]] friend bool operator==(const key_digest&, const key_digest&) = default;
    [[nodiscard]] friend auto operator<=>(const key_digest&, const key_digest&) = default;
};

/** @return Digest of an API key. */
[[nodiscard]] key_digest digest_of_key(std::string_view key) noexcept;

} // namespace savorywheel

#endif
