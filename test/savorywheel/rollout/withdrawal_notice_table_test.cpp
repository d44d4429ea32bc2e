#include <savorywheel/rollout/withdrawal_notice_table.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace savorywheel::test {

namespace {

const service_name bookdesk{"bookdesk"};

withdrawal_notice notice_at(std::uint64_t asked_at)
{
    return {bookdesk, {asked_at}, node_id{"a"}, "failed"};
}

mesh_state state_with(std::uint64_t asked_at, move_status status)
{
    service_state service;
    service.spec.name = bookdesk;
    service.move = rollout_move{};
    service.move->asked_at = {asked_at};
    service.move->status = status;
    return {{asked_at + 1}, {}, std::span{&service, 1}};
}

} // namespace

RC_GTEST_PROP(proof_withdrawal, notice_versions_are_monotonic_and_end_with_their_move, ())
{
    const auto asked = *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(1, 8));
    const auto ended = *rc::gen::inRange(0, 8);
    const auto end_after = *rc::gen::inRange(0, 12);
    withdrawal_notice_table table;
    config_version highest;
    for (std::size_t i = 0; i < asked.size(); ++i) {
        static_cast<void>(table.add(notice_at(static_cast<std::uint64_t>(asked[i]))));
        if (static_cast<int>(i) == end_after && ended > 0) {
            table.erase_ended(
                state_with(static_cast<std::uint64_t>(ended), move_status::withdrawn));
        }
        const auto all = table.all();
        RC_ASSERT(all.size() <= 1U);
        if (!all.empty()) {
            RC_ASSERT(all.front().asked_at >= highest);
            highest = all.front().asked_at;
        }
    }
}

TEST(withdrawal_notice_table, notice_is_erased_with_its_commit_and_not_added_again)
{
    withdrawal_notice_table table;
    EXPECT_TRUE(table.add(notice_at(5)));
    EXPECT_FALSE(table.add(notice_at(5)));
    table.erase_ended(state_with(5, move_status::in_progress));
    EXPECT_NE(table.find(bookdesk, {5}), nullptr);
    table.erase_ended(state_with(5, move_status::withdrawn));
    EXPECT_EQ(table.find(bookdesk, {5}), nullptr);
    EXPECT_FALSE(table.add(notice_at(5)));
    EXPECT_TRUE(table.add(notice_at(9)));
}

} // namespace savorywheel::test
