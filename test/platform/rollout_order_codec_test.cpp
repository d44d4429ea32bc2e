#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/encoding/json_fields.hpp>

#include <gtest/gtest.h>
#include <platform/rollout_order_codec.hpp>
#include <rapidcheck/gtest.h>

namespace savorywheel::platform::test {

namespace {

rollout_record make_record()
{
    rollout_record record;
    record.move.asked_at = config_version{5};
    record.move.from = {{version_name{"v1"}, 1000}};
    record.move.to = {{version_name{"v2"}, 1000}};
    record.weights = {{version_name{"v1"}, 900}, {version_name{"v2"}, 100}};
    return record;
}

std::string document_with(const std::string& status)
{
    return R"({"metadata":{"name":"lugeja","revision":7},)"
           R"("spec":{"service":"lugeja","target-version":"v2","duration":"14s"},"status":)" +
           status + '}';
}

std::string document_with(const rollout_record& record)
{
    rollout_order order;
    order.target = version_name{"v2"};
    order.record = record;
    return document_with(rollout_order_codec{}.encode_status(order, move_status::in_progress));
}

outcome<decoded_order> decode_order(const std::string& document,
                                    const std::string& key = "rollouts/lugeja")
{
    return rollout_order_codec{}.decode({key, document, 7});
}

} // namespace

TEST(rollout_order_codec, written_record_is_read_again)
{
    const auto decoded = decode_order(document_with(make_record()));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->order.record, make_record());
    EXPECT_EQ(decoded->record_failure.code, failure_code::none);
    EXPECT_EQ(decoded->order.duration, std::chrono::seconds{14});
}

// Guards against review case 6: a new order did not tell what carried the traffic before it.
TEST(rollout_order_codec, record_of_the_replaced_order_is_read)
{
    const std::string replacing =
        R"({"metadata":{"name":"lugeja","revision":9},)"
        R"("spec":{"service":"lugeja","target-version":"v1","duration":"14s"},"status":)";
    rollout_order replaced;
    replaced.target = version_name{"v2"};
    replaced.record = make_record();
    const auto status = rollout_order_codec{}.encode_status(replaced, move_status::in_progress);
    const auto decoded = decode_order(replacing + status + '}');
    ASSERT_TRUE(decoded);
    EXPECT_FALSE(decoded->order.record);
    EXPECT_EQ(decoded->order.previous, make_record());
}

TEST(rollout_order_codec, order_holds_without_a_valid_status)
{
    const std::string nested = std::string(100'000, '[') + std::string(100'000, ']');
    for (const auto& status : {std::string{R"({"target-version":"v2","mesh-record":"{"})"},
                               std::string{R"({"target-version":"v2","mesh-record":"7"})"},
                               R"({"target-version":"v2","mesh-record":")" + nested + "\"}",
                               R"({"target-version":"v2","a":)" + nested + '}',
                               std::string{R"({"a":1e999})"}, std::string{"{\"a\":\"\xff\"}"}}) {
        const auto decoded = decode_order(document_with(status));
        ASSERT_TRUE(decoded) << status.substr(0, 60);
        EXPECT_FALSE(decoded->order.record) << status.substr(0, 60);
        EXPECT_EQ(decoded->record_failure.code, failure_code::malformed) << status.substr(0, 60);
    }
    for (const auto* status : {"null", "{}", "7", R"({"target-version":"v1","mesh-record":"{"})"}) {
        const auto decoded = decode_order(document_with(std::string{status}));
        ASSERT_TRUE(decoded) << status;
        EXPECT_FALSE(decoded->order.record) << status;
        EXPECT_EQ(decoded->record_failure.code, failure_code::none) << status;
    }
}

TEST(rollout_order_codec, record_with_invalid_weights_is_discarded)
{
    const auto is_discarded = [](const rollout_record& record) {
        const auto decoded = decode_order(document_with(record));
        return decoded && !decoded->order.record &&
               decoded->record_failure.code == failure_code::malformed;
    };
    auto record = make_record();
    record.weights = {{version_name{"v1"}, 4294967295}, {version_name{"v2"}, 4294967295}};
    EXPECT_TRUE(is_discarded(record));
    record.weights = {{version_name{"v1"}, 0}};
    EXPECT_TRUE(is_discarded(record));
    record.weights = {{version_name{"a/b"}, 1000}};
    EXPECT_TRUE(is_discarded(record));
    record = make_record();
    record.move.to.clear();
    EXPECT_TRUE(is_discarded(record));
    record = make_record();
    record.move.from = {{version_name{"v1"}, 1001}};
    EXPECT_TRUE(is_discarded(record));
    record = make_record();
    record.move.from.clear();
    record.weights = {{version_name{"v2"}, 100}};
    EXPECT_FALSE(is_discarded(record));
}

TEST(rollout_order_codec, order_under_another_name_is_malformed)
{
    const auto document = document_with(std::string{"null"});
    ASSERT_TRUE(decode_order(document));
    EXPECT_EQ(decode_order(document, "rollouts/odd").reason().code, failure_code::malformed);
}

TEST(rollout_order_codec, status_of_a_record_with_a_lone_surrogate_is_encoded)
{
    auto text = encode_json(make_record());
    const std::string reason{R"("reason": ")"};
    ASSERT_NE(text.find(reason), std::string::npos);
    text.insert(text.find(reason) + reason.size(), "\\udc00");
    const json status{{"target-version", "v2"}, {"mesh-record", text}};
    const auto decoded = decode_order(document_with(status.dump()));
    ASSERT_TRUE(decoded);
    ASSERT_TRUE(decoded->order.record);
    EXPECT_TRUE(
        parse_json(rollout_order_codec{}.encode_status(decoded->order, move_status::in_progress)));
}

RC_GTEST_PROP(rollout_order_codec, order_holds_with_a_mutated_record, ())
{
    auto text = encode_json(make_record());
    const auto mutations = *rc::gen::inRange(1, 4);
    for (int i = 0; i < mutations; ++i) {
        const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto removed = *rc::gen::inRange<std::size_t>(0, 6);
        text.replace(position, removed,
                     *rc::gen::element<std::string>("", "9", "99999999", "-", "{}", "[[]]", "null",
                                                    "\"", ",", "\\udc00"));
    }
    const json status{{"target-version", "v2"}, {"mesh-record", text}};
    const auto decoded = decode_order(document_with(status.dump()));
    RC_ASSERT(static_cast<bool>(decoded));
    if (decoded->order.record) {
        const auto status_text =
            rollout_order_codec{}.encode_status(decoded->order, move_status::in_progress);
        RC_ASSERT(static_cast<bool>(parse_json(status_text)));
    }
}

} // namespace savorywheel::platform::test
