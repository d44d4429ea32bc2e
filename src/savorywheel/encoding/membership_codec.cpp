#include <savorywheel/encoding/codec_impl.hpp>
#include <savorywheel/encoding/membership_archive.hpp>

namespace savorywheel {

template std::vector<std::byte> encode(const membership_message&);
template std::vector<std::byte> encode(const membership_sync_message&);
template std::string encode_json(const member_record&);
template outcome<member_record> decode_json(std::string_view);
template outcome<membership_message> decode(std::span<const std::byte>);
template outcome<membership_sync_message> decode(std::span<const std::byte>);

} // namespace savorywheel
