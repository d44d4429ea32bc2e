#include <savorywheel/traffic/request_digest.hpp>

#include <xxhash.h>

#include <array>
#include <string_view>

namespace savorywheel {

request_digest digest_of(const call_request& call) noexcept
{
    const auto& request = call.request;
    const std::array parts{std::string_view{call.caller.str()}, std::string_view{call.tenant.str()},
                           std::string_view{request.method}, std::string_view{request.target},
                           std::string_view{request.body}};
    request_digest digest{};
    for (const auto part : parts) {
        digest = XXH3_64bits_withSeed(part.data(), part.size(), digest);
    }
    return digest;
}

} // namespace savorywheel
