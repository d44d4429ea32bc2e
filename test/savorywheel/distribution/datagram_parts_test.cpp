#include <savorywheel/distribution/datagram_parts.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace savorywheel::test {

namespace {

document_datagram make_part(std::uint64_t id, std::size_t part, std::size_t parts,
                            std::vector<std::byte> content)
{
    document_datagram message;
    message.id = id;
    message.part = static_cast<std::uint16_t>(part);
    message.parts = static_cast<std::uint16_t>(parts);
    message.answer = std::move(content);
    return message;
}

} // namespace

RC_GTEST_PROP(datagram_parts, parts_in_any_order_and_repeated_give_the_answer_once, ())
{
    const auto parts = *rc::gen::inRange<std::size_t>(1, max_datagram_parts + 1);
    const auto order =
        *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, parts));
    datagram_parts subject;
    std::set<std::size_t> seen;
    for (const auto part : order) {
        const auto content = std::vector{static_cast<std::byte>(part)};
        const auto whole = subject.add(make_part(1, part, parts, content));
        seen.insert(part);
        RC_ASSERT(whole.has_value() == (seen.size() == parts));
        if (whole) {
            RC_ASSERT(whole->size() == parts);
            RC_ASSERT(std::ranges::is_sorted(*whole));
            seen.clear();
        }
    }
}

TEST(datagram_parts, incomplete_answers_are_bounded)
{
    datagram_parts subject;
    for (std::uint64_t id = 0; id < 1000; ++id) {
        EXPECT_FALSE(subject.add(make_part(id, 0, 2, {std::byte{1}})));
    }
    EXPECT_LE(subject.incomplete(), 8U);
}

TEST(datagram_parts, impossible_parts_are_ignored)
{
    datagram_parts subject;
    EXPECT_FALSE(subject.add(make_part(1, 0, 0, {})));
    EXPECT_FALSE(subject.add(make_part(1, 2, 2, {})));
    EXPECT_FALSE(subject.add(make_part(1, 0, max_datagram_parts + 1, {})));
    EXPECT_EQ(subject.incomplete(), 0U);
}

} // namespace savorywheel::test
