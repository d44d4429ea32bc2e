#include <savorywheel/distribution/checkpoint.hpp>
#include <savorywheel/distribution/commit_fetch_message.hpp>
#include <savorywheel/distribution/commit_push_message.hpp>
#include <savorywheel/distribution/document_datagram.hpp>
#include <savorywheel/distribution/floor_message.hpp>
#include <savorywheel/distribution/lease_record.hpp>
#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/membership/membership_message.hpp>
#include <savorywheel/membership/membership_sync_message.hpp>
#include <savorywheel/traffic/call_request.hpp>
#include <savorywheel/traffic/call_response.hpp>
#include <savorywheel/traffic/crash_reports.hpp>
#include <savorywheel/traffic/departure_copy.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace savorywheel::test {

namespace {

membership_message sample_message()
{
    membership_message message;
    message.protocol = 1;
    message.sender = node_id{"plug-1"};
    message.sender_peer = {"127.0.0.1", 7002};
    member_update update;
    update.record.id = node_id{"plug-2"};
    update.record.service = service_name{"plugboard"};
    update.record.state = server_state::serving;
    message.updates.assign(3, update);
    return message;
}

member_record sample_record()
{
    member_record record;
    record.id = node_id{"plug-2"};
    record.peer = {"127.0.0.1", 7002};
    record.service = service_name{"plugboard"};
    record.state = server_state::serving;
    record.slots = 9;
    record.incarnation = 12;
    return record;
}

std::string replaced(std::string text, std::string_view part, std::string_view replacement)
{
    const auto position = text.find(part);
    EXPECT_NE(position, std::string::npos) << part;
    return text.replace(position, part.size(), replacement);
}

/** Whatever decode() accepts must survive another round trip through encode() and decode(). */
template<typename Message>
void check_round_trip(std::span<const std::byte> bytes)
{
    if (const auto message = decode<Message>(bytes)) {
        RC_ASSERT(static_cast<bool>(decode<Message>(encode(*message))));
    }
}

void check_all_types(std::span<const std::byte> bytes)
{
    check_round_trip<commit>(bytes);
    check_round_trip<commit_batch_message>(bytes);
    check_round_trip<commit_push_message>(bytes);
    check_round_trip<commit_fetch_message>(bytes);
    check_round_trip<floor_message>(bytes);
    check_round_trip<membership_message>(bytes);
    check_round_trip<membership_sync_message>(bytes);
    check_round_trip<call_request>(bytes);
    check_round_trip<call_response>(bytes);
    check_round_trip<crash_reports>(bytes);
    check_round_trip<departure_copy>(bytes);
    check_round_trip<document_datagram>(bytes);
}

} // namespace

RC_GTEST_PROP(decoder_input, accepted_random_bytes_round_trip,
              (const std::vector<std::uint8_t>& bytes))
{
    check_all_types(std::as_bytes(std::span{bytes}));
}

RC_GTEST_PROP(decoder_input, accepted_mutated_messages_round_trip, ())
{
    auto bytes = encode(sample_message());
    const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[position] = static_cast<std::byte>(*rc::gen::arbitrary<std::uint8_t>());
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    check_all_types(bytes);
    const auto message = decode<membership_message>(bytes);
    for (const auto& update : message ? message->updates : std::vector<member_update>{}) {
        RC_ASSERT(update.status <= member_status::last_status);
        RC_ASSERT(update.record.state <= server_state::last_state);
    }
}

TEST(decoder_input, json_number_beyond_the_range_of_its_field_is_malformed)
{
    const auto text = encode_json(sample_record());
    ASSERT_TRUE(decode_json<member_record>(text));
    for (const auto* number : {"65536", "77002", "-1", "1e999", "7002.5", "18446744073709551616"}) {
        EXPECT_FALSE(decode_json<member_record>(replaced(text, "7002", number))) << number;
    }
    const auto state = R"("state": )" + std::to_string(static_cast<int>(server_state::serving));
    EXPECT_FALSE(decode_json<member_record>(replaced(text, state, R"("state": 256)")));
    EXPECT_FALSE(
        decode_json<member_record>(replaced(text, R"("slots": 9)", R"("slots": 4294967296)")));
}

RC_GTEST_PROP(decoder_input, accepted_mutated_json_round_trips, ())
{
    auto text = encode_json(sample_record());
    const auto mutations = *rc::gen::inRange(1, 4);
    for (int i = 0; i < mutations; ++i) {
        const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto removed = *rc::gen::inRange<std::size_t>(0, 8);
        text.replace(position, removed,
                     *rc::gen::element<std::string>("", "9", "e9", "-", "{}", "[", "]", "[[]]",
                                                    "null", "\"", ",", "\xff", "\"\\udc00\""));
    }
    static_cast<void>(decode_json<lease_record>(text));
    static_cast<void>(decode_json<commit>(text));
    if (const auto record = decode_json<member_record>(text)) {
        RC_ASSERT(record->state <= server_state::last_state);
        RC_ASSERT(static_cast<bool>(decode_json<member_record>(encode_json(*record))));
    }
}

RC_GTEST_PROP(decoder_input, decode_json_does_not_crash_on_random_text, (const std::string& text))
{
    static_cast<void>(decode_json<commit>(text));
    static_cast<void>(decode_json<checkpoint>(text));
    static_cast<void>(decode_json<lease_record>(text));
}

TEST(proof_input, decoders_reject_undefined_enum_values)
{
    auto message = sample_message();
    message.updates.front().status = static_cast<member_status>(7);
    EXPECT_FALSE(decode<membership_message>(encode(message)));
    message = sample_message();
    message.updates.front().record.state = static_cast<server_state>(9);
    EXPECT_FALSE(decode<membership_message>(encode(message)));
    commit change;
    change.kind = static_cast<commit_kind>(99);
    EXPECT_FALSE(decode<commit>(encode(change)));
    EXPECT_FALSE(decode_json<commit>(encode_json(change)));
}

} // namespace savorywheel::test
