#include <savorywheel/config/key_digest.hpp>

#include <nettle/sha2.h>

namespace savorywheel {

key_digest digest_of_key(std::string_view key) noexcept
{
    sha256_ctx context;
    sha256_init(&context);
    sha256_update(&context, key.size(), reinterpret_cast<const std::uint8_t*>(key.data()));
    key_digest result;
    sha256_digest(&context, result.bytes.size(), result.bytes.data());
    return result;
}

} // namespace savorywheel
