#include <savorywheel/encoding/codec_impl.hpp>
#include <savorywheel/encoding/traffic_archive.hpp>

namespace savorywheel {

template std::vector<std::byte> encode(const call_request&);
template std::vector<std::byte> encode(const call_response&);
template std::vector<std::byte> encode(const crash_reports&);
template std::vector<std::byte> encode(const departure_copy&);
template std::string encode_json(const backend_departures&);
template outcome<backend_departures> decode_json(std::string_view);
template outcome<departure_copy> decode(std::span<const std::byte>);
template outcome<crash_reports> decode(std::span<const std::byte>);
template outcome<call_request> decode(std::span<const std::byte>);
template outcome<call_response> decode(std::span<const std::byte>);

} // namespace savorywheel
