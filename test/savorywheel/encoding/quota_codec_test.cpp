#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/quota/quota_grant.hpp>
#include <savorywheel/quota/quota_request.hpp>
#include <savorywheel/transport/datagram_channel.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace savorywheel::test {

namespace {

quota_request largest_request()
{
    quota_request request;
    request.sender_peer = {"2001:0db8:85a3:0000:0000:8a2e:0370:7334", 65535};
    request.items.assign(max_quota_items, {1, 2, 3, 4, 5});
    return request;
}

quota_grant largest_grant()
{
    quota_grant grant;
    grant.coordinator = {"2001:0db8:85a3:0000:0000:8a2e:0370:7334", 65535};
    grant.items.assign(max_quota_items, {1, quota_grant_state::exhausted, 2, 3});
    return grant;
}

/** Whatever decode() accepts must survive another round trip and stay within a datagram. */
template<typename Message>
void check_mutation(const Message& message)
{
    auto bytes = encode(message);
    for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
            std::byte{*rc::gen::arbitrary<std::uint8_t>()};
    }
    bytes.resize(bytes.size() - *rc::gen::element<std::size_t>(0, 0, 1, 20));
    if (const auto decoded = decode<Message>(bytes)) {
        RC_ASSERT(decoded->items.size() <= max_quota_items);
        RC_ASSERT(encode(*decoded) == bytes);
    }
}

} // namespace

TEST(quota_codec, largest_messages_fit_a_datagram_and_are_decoded)
{
    const auto request = encode(largest_request());
    const auto grant = encode(largest_grant());
    EXPECT_LE(request.size(), max_datagram_bytes);
    EXPECT_LE(grant.size(), max_datagram_bytes);
    EXPECT_EQ(decode<quota_request>(request)->items, largest_request().items);
    EXPECT_EQ(decode<quota_grant>(grant)->items, largest_grant().items);
}

TEST(quota_codec, message_of_another_kind_or_with_too_many_tenants_is_rejected)
{
    EXPECT_FALSE(decode<quota_grant>(encode(quota_request{})));
    EXPECT_FALSE(decode<quota_request>(encode(quota_grant{})));
    auto request = largest_request();
    request.protocol = quota_grant_protocol;
    EXPECT_FALSE(decode<quota_request>(encode(request)));
    request = largest_request();
    request.items.emplace_back();
    EXPECT_FALSE(decode<quota_request>(encode(request)));
    auto grant = largest_grant();
    grant.items.front().state = static_cast<quota_grant_state>(9);
    EXPECT_FALSE(decode<quota_grant>(encode(grant)));
}

RC_GTEST_PROP(quota_codec, mutated_messages_are_rejected_or_valid, ())
{
    check_mutation(largest_request());
    check_mutation(largest_grant());
}

} // namespace savorywheel::test
