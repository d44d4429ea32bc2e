#include <savorywheel/distribution/commit_push_message.hpp>
#include <savorywheel/distribution/operator_documents.hpp>
#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/membership/membership_message.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace savorywheel::test {

namespace {

commit sample_commit()
{
    commit item;
    item.version = {7};
    item.base = {6};
    item.operation = operation_id{"op-1"};
    item.author = author_name{"anna"};
    item.kind = commit_kind::override_set;
    item.reason = "reefer alarm";
    service_state state;
    state.spec.name = service_name{"plugboard"};
    state.spec.routes.push_back({"/check", true, std::chrono::milliseconds{800}, {}});
    state.weights.push_back({version_name{"v1"}, 1000});
    item.upserts.push_back(state);
    item.tenants = {{tenant_name{"clinic"}, {digest_of_key("k")}, 1, 2.5, 3.0}};
    return item;
}

} // namespace

TEST(codec, commit_round_trips_through_both_encodings)
{
    const auto item = sample_commit();
    const auto binary = decode<commit>(encode(item));
    ASSERT_TRUE(binary) << binary.reason().message;
    EXPECT_EQ(*binary, item);
    const auto json = decode_json<commit>(encode_json(item));
    ASSERT_TRUE(json) << json.reason().message;
    EXPECT_EQ(*json, item);
}

TEST(codec, limits_on_callers_round_trip_between_nodes)
{
    operator_documents documents;
    documents.configuration.limits = {16'384, 67'108'864, {}, std::chrono::milliseconds{15'000}};
    const auto decoded = decode<operator_documents>(encode(documents));
    ASSERT_TRUE(decoded) << decoded.reason().message;
    EXPECT_EQ(decoded->configuration, documents.configuration);
}

RC_GTEST_PROP(codec, decode_does_not_crash_on_random_bytes,
              (const std::vector<std::uint8_t>& bytes))
{
    const auto view = std::as_bytes(std::span{bytes});
    static_cast<void>(decode<commit_push_message>(view));
    static_cast<void>(decode<membership_message>(view));
}

// The ordered log and the checkpoints of earlier releases have no tenants and public routes.
TEST(codec, commit_of_an_earlier_release_has_no_tenants)
{
    auto item = sample_commit();
    item.upserts.push_back(item.upserts.front());
    item.tenants.reset();
    auto text = encode_json(item);
    for (const std::string_view added :
         {",\n\"public\": false", ",\n\"tenants\": {\n\"nullopt\": true\n}"}) {
        while (text.find(added) != std::string::npos) {
            text.erase(text.find(added), added.size());
        }
    }
    ASSERT_EQ(text.find("public"), std::string::npos) << text;
    ASSERT_EQ(text.find("tenants"), std::string::npos);
    const auto result = decode_json<commit>(text);
    ASSERT_TRUE(result) << result.reason().message;
    EXPECT_EQ(*result, item);
}

TEST(codec, malformed_digest_of_a_key_is_refused)
{
    auto text = encode_json(sample_commit());
    const auto place = text.find("sha256:");
    ASSERT_NE(place, std::string::npos);
    text[place + 10] = 'x';
    EXPECT_FALSE(decode_json<commit>(text));
}

} // namespace savorywheel::test
