#include <savorywheel/encoding/codec_impl.hpp>
#include <savorywheel/encoding/distribution_archive.hpp>

namespace savorywheel {

template std::vector<std::byte> encode(const commit&);
template std::vector<std::byte> encode(const commit_batch_message&);
template std::vector<std::byte> encode(const commit_push_message&);
template std::vector<std::byte> encode(const commit_fetch_message&);
template std::vector<std::byte> encode(const floor_message&);
template std::vector<std::byte> encode(const head_message&);
template outcome<commit> decode(std::span<const std::byte>);
template outcome<commit_batch_message> decode(std::span<const std::byte>);
template outcome<commit_push_message> decode(std::span<const std::byte>);
template outcome<commit_fetch_message> decode(std::span<const std::byte>);
template outcome<floor_message> decode(std::span<const std::byte>);
template outcome<head_message> decode(std::span<const std::byte>);
template std::vector<std::byte> encode(const confirmation_message&);
template outcome<confirmation_message> decode(std::span<const std::byte>);
template std::vector<std::byte> encode(const document_datagram&);
template outcome<document_datagram> decode(std::span<const std::byte>);
template std::vector<std::byte> encode(const document_request&);
template outcome<document_request> decode(std::span<const std::byte>);
template std::vector<std::byte> encode(const operator_documents&);
template outcome<operator_documents> decode(std::span<const std::byte>);
template std::string encode_json(const rollout_record&);
template outcome<rollout_record> decode_json(std::string_view);
template std::string encode_json(const commit&);
template std::string encode_json(const checkpoint&);
template std::string encode_json(const checkpoint_manifest&);
template std::string encode_json(const lease_record&);
template outcome<commit> decode_json(std::string_view);
template outcome<checkpoint> decode_json(std::string_view);
template outcome<checkpoint_manifest> decode_json(std::string_view);
template outcome<lease_record> decode_json(std::string_view);

} // namespace savorywheel
