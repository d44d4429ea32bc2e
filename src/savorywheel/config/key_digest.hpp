#ifndef SAVORYWHEEL_CONFIG_KEY_DIGEST_HPP
#define SAVORYWHEEL_CONFIG_KEY_DIGEST_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <string>
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

/** @return The digest as text, such as "sha256:00112233445566778899aabbccddeeff". */
[[nodiscard]] std::string to_string(const key_digest& digest);

/** @return The digest that to_string() wrote; nothing for another text. */
[[nodiscard]] std::optional<key_digest> parse_key_digest(std::string_view text);

} // namespace savorywheel

#endif
