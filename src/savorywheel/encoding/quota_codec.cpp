#include <savorywheel/encoding/codec_impl.hpp>
#include <savorywheel/encoding/quota_archive.hpp>

namespace savorywheel {

template std::vector<std::byte> encode(const quota_request&);
template std::vector<std::byte> encode(const quota_grant&);
template outcome<quota_request> decode(std::span<const std::byte>);
template outcome<quota_grant> decode(std::span<const std::byte>);

} // namespace savorywheel
