#include <savorywheel/encoding/codec_impl.hpp>
#include <savorywheel/encoding/rollout_archive.hpp>

namespace savorywheel {

template std::vector<std::byte> encode(const evidence_report&);
template std::vector<std::byte> encode(const withdrawal_notice&);
template outcome<evidence_report> decode(std::span<const std::byte>);
template outcome<withdrawal_notice> decode(std::span<const std::byte>);
template std::string encode_json(const move_evidence&);
template outcome<move_evidence> decode_json(std::string_view);

} // namespace savorywheel
