#include <savorywheel/encoding/codec_impl.hpp>
#include <savorywheel/encoding/traffic_archive.hpp>

namespace savorywheel {

template std::vector<std::byte> encode(const call_request&);
template std::vector<std::byte> encode(const call_response&);
template std::vector<std::byte> encode(const crash_report&);
template outcome<crash_report> decode(std::span<const std::byte>);
template outcome<call_request> decode(std::span<const std::byte>);
template outcome<call_response> decode(std::span<const std::byte>);

} // namespace savorywheel
