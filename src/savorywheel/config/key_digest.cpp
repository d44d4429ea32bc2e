#include <savorywheel/config/key_digest.hpp>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nettle/sha2.h>

#include <charconv>

namespace savorywheel {

namespace {

constexpr std::string_view digest_prefix = "sha256:";
constexpr int hexadecimal = 16;

} // namespace

key_digest digest_of_key(std::string_view key) noexcept
{
    sha256_ctx context{};
    sha256_init(&context);
    sha256_update(&context, key.size(), reinterpret_cast<const std::uint8_t*>(key.data()));
    key_digest result;
    sha256_digest(&context, result.bytes.size(), result.bytes.data());
    return result;
}

std::string to_string(const key_digest& digest)
{
    return fmt::format("{}{:02x}", digest_prefix, fmt::join(digest.bytes, ""));
}

std::optional<key_digest> parse_key_digest(std::string_view text)
{
    key_digest digest;
    if (!text.starts_with(digest_prefix) ||
        text.size() != digest_prefix.size() + 2 * digest.bytes.size()) {
        return std::nullopt;
    }
    const auto* place = text.data() + digest_prefix.size();
    for (auto& byte : digest.bytes) {
        const auto [end, error] = std::from_chars(place, place + 2, byte, hexadecimal);
        if (error != std::errc{} || end != place + 2) {
            return std::nullopt;
        }
        place = end;
    }
    return digest;
}

} // namespace savorywheel
