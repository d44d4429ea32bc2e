#include <savorywheel/rollout/withdrawal_board.hpp>

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

RC_GTEST_PROP(proof_withdrawal, notices_only_grow_in_any_order_and_never_outlive_their_move, ())
{
    const auto asked = *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(1, 8));
    const auto ended = *rc::gen::inRange(0, 8);
    const auto end_after = *rc::gen::inRange(0, 12);
    withdrawal_board board;
    config_version highest;
    for (std::size_t i = 0; i < asked.size(); ++i) {
        static_cast<void>(board.take(notice_at(static_cast<std::uint64_t>(asked[i]))));
        if (static_cast<int>(i) == end_after && ended > 0) {
            board.forget_ended(
                state_with(static_cast<std::uint64_t>(ended), move_status::withdrawn));
        }
        const auto all = board.all();
        RC_ASSERT(all.size() <= 1U);
        if (!all.empty()) {
            RC_ASSERT(all.front().asked_at >= highest);
            highest = all.front().asked_at;
        }
    }
}

TEST(withdrawal_board, a_notice_ends_with_its_commit_and_does_not_come_back)
{
    withdrawal_board board;
    EXPECT_TRUE(board.take(notice_at(5)));
    EXPECT_FALSE(board.take(notice_at(5)));
    board.forget_ended(state_with(5, move_status::in_progress));
    EXPECT_NE(board.find(bookdesk, {5}), nullptr);
    board.forget_ended(state_with(5, move_status::withdrawn));
    EXPECT_EQ(board.find(bookdesk, {5}), nullptr);
    EXPECT_FALSE(board.take(notice_at(5)));
    EXPECT_TRUE(board.take(notice_at(9)));
}

} // namespace savorywheel::test
