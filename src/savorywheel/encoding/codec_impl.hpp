#ifndef SAVORYWHEEL_ENCODING_CODEC_IMPL_HPP
#define SAVORYWHEEL_ENCODING_CODEC_IMPL_HPP

#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/encoding/json_depth.hpp>
#include <savorywheel/encoding/span_input_archive.hpp>
#include <savorywheel/encoding/vector_output_archive.hpp>

#include <cereal/archives/json.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <exception>
#include <sstream>

namespace savorywheel {

template<typename Message>
std::vector<std::byte> encode(const Message& message)
{
    std::vector<std::byte> bytes;
    vector_output_archive archive{bytes};
    archive(message);
    return bytes;
}

template<typename Message>
outcome<Message> decode(std::span<const std::byte> bytes)
{
    try {
        Message message;
        span_input_archive archive{bytes};
        archive(message);
        // Bytes are left over after the last field.
        if (archive.remaining() > 0) {
            return failure{failure_code::malformed, "message too long"};
        }
        return message;
    }
    catch (const std::exception& error) {
        return failure{failure_code::malformed, error.what()};
    }
}

template<typename Message>
std::string encode_json(const Message& message)
{
    std::ostringstream text;
    {
        cereal::JSONOutputArchive archive{text, cereal::JSONOutputArchive::Options::NoIndent()};
        archive(cereal::make_nvp("object", message));
    }
    return std::move(text).str();
}

template<typename Message>
outcome<Message> decode_json(std::string_view text)
{
    if (json_depth(text) > max_json_depth) {
        return failure{failure_code::malformed, "JSON nested too deeply"};
    }
    try {
        std::istringstream source{std::string{text}};
        cereal::JSONInputArchive archive{source};
        Message message;
        archive(cereal::make_nvp("object", message));
        return message;
    }
    catch (const std::exception& error) {
        return failure{failure_code::malformed, error.what()};
    }
}

} // namespace savorywheel

#endif
