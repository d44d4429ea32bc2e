#include <savorywheel/encoding/compression.hpp>
#include <savorywheel/encoding/document_answer_codec.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace savorywheel::test {

namespace {

/** A configuration that takes more than a packet. */
document_answer whole_answer()
{
    document_answer answer;
    auto& configuration = answer.documents.configuration;
    configuration.version = config_version{9};
    answer.documents.revision = (std::uint64_t{3} << 40U) | 7U;
    for (int i = 0; i < 100; ++i) {
        configuration.services.emplace_back("service-" + std::to_string(i));
        configuration.hosts.push_back({"host-" + std::to_string(i), {}});
    }
    return answer;
}

} // namespace

TEST(document_answer_codec, whole_configuration_is_compressed_and_restored)
{
    const auto answer = whole_answer();
    const auto bytes = encode_document_answer(answer);
    EXPECT_LT(bytes.size(), 1500U);
    const auto decoded = decode_document_answer(bytes);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->documents.configuration, answer.documents.configuration);
    EXPECT_EQ(decoded->documents.revision, answer.documents.revision);
    EXPECT_FALSE(decoded->delta);
}

TEST(document_answer_codec, difference_is_restored)
{
    const auto base = whole_answer().documents.configuration;
    auto target = base;
    target.version = config_version{10};
    target.hosts[50].routes.resize(1);
    document_answer answer;
    answer.delta = make_configuration_delta(base, 7, target);
    const auto bytes = encode_document_answer(answer);
    EXPECT_LT(bytes.size(), 512U);
    const auto decoded = decode_document_answer(bytes);
    ASSERT_TRUE(decoded);
    ASSERT_TRUE(decoded->delta);
    EXPECT_EQ(*apply_configuration_delta(base, 7, *decoded->delta), target);
}

// A few bytes must not make a node allocate the memory that they claim to describe.
TEST(document_answer_codec, answer_that_claims_to_be_too_large_is_malformed)
{
    auto bytes = encode_document_answer(whole_answer());
    ASSERT_EQ(bytes.front(), std::byte{1});
    for (std::size_t i = 1; i < 5; ++i) {
        bytes[i] = std::byte{0xFF};
    }
    EXPECT_EQ(decode_document_answer(bytes).reason().code, failure_code::malformed);
    EXPECT_EQ(decode_document_answer({}).reason().code, failure_code::malformed);
}

TEST(document_answer_codec, decompression_yields_exactly_the_stated_size)
{
    const std::vector<std::byte> zeros(100'000);
    const auto packed = compress(zeros);
    ASSERT_FALSE(packed.empty());
    EXPECT_EQ(*decompress(packed, zeros.size()), zeros);
    EXPECT_EQ(decompress(packed, zeros.size() - 1).reason().code, failure_code::malformed);
    EXPECT_EQ(decompress(packed, zeros.size() + 1).reason().code, failure_code::malformed);
    auto longer = packed;
    longer.push_back(std::byte{0});
    EXPECT_EQ(decompress(longer, zeros.size()).reason().code, failure_code::malformed);
}

RC_GTEST_PROP(document_answer_codec, damaged_answer_is_rejected_or_decoded, ())
{
    auto bytes = encode_document_answer(whole_answer());
    const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[position] ^= static_cast<std::byte>(*rc::gen::inRange(1, 256));
    bytes.resize(*rc::gen::inRange<std::size_t>(position, bytes.size() + 1));
    if (const auto answer = decode_document_answer(bytes)) {
        RC_ASSERT(static_cast<bool>(decode_document_answer(encode_document_answer(*answer))));
    }
}

} // namespace savorywheel::test
