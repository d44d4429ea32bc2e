#include <savorywheel/quota/quota_terms.hpp>
#include <savorywheel/quota/token_stock.hpp>

#include <gtest/gtest.h>

namespace savorywheel::test {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t tenant = 7;

class token_stock_test : public testing::Test {
protected:
    void receive(std::uint32_t tokens, duration sent_at)
    {
        const std::vector items{quota_grant_item{tenant, quota_grant_state::granted, tokens, 0}};
        stock_.receive(items, sent_at, now_);
    }

    token_stock stock_{1};
    duration now_{1h};
};

} // namespace

TEST_F(token_stock_test, tokens_expire_one_lifetime_after_their_request_was_sent)
{
    EXPECT_FALSE(stock_.take(tenant, now_));
    static_cast<void>(stock_.prepare(0, now_));
    const auto sent_at = now_;
    now_ += 1s;
    receive(3, sent_at);
    EXPECT_TRUE(stock_.take(tenant, sent_at + token_lifetime - 1ms));
    EXPECT_FALSE(stock_.take(tenant, sent_at + token_lifetime));
    EXPECT_EQ(stock_.size(), 0U);
}

TEST_F(token_stock_test, returned_token_is_used_again_if_its_use_was_not_reported)
{
    stock_.begin_wait(tenant);
    EXPECT_EQ(stock_.prepare(0, now_).front().wanted, 1U);
    receive(1, now_);
    const auto token = stock_.take_for_waiting(tenant, now_);
    ASSERT_TRUE(token);
    stock_.put_back(tenant, *token, now_);
    EXPECT_TRUE(stock_.take(tenant, now_));
    EXPECT_FALSE(stock_.take(tenant, now_));
}

// A use that is reported twice, or not reported, would make the coordinator refund it.
TEST_F(token_stock_test, uses_are_reported_until_a_report_is_answered)
{
    stock_.begin_wait(tenant);
    static_cast<void>(stock_.prepare(0, now_));
    receive(2, now_);
    const auto first = stock_.take_for_waiting(tenant, now_);
    static_cast<void>(stock_.take(tenant, now_));
    stock_.begin_wait(tenant);
    auto item = stock_.prepare(0, now_).front();
    EXPECT_EQ(item.used, 2U);
    stock_.put_back(tenant, *first, now_);
    stock_.begin_wait(tenant);
    item = stock_.prepare(0, now_).front();
    EXPECT_EQ(item.used, 2U);
    EXPECT_EQ(item.not_run, 1U);
    receive(0, now_);
    stock_.begin_wait(tenant);
    item = stock_.prepare(0, now_).front();
    EXPECT_EQ(item.used, 0U);
    EXPECT_EQ(item.not_run, 0U);
}

// Use that is not reported counts against what other nodes get. A tenant that is in the request
// twice would get tokens that the second report returns.
TEST_F(token_stock_test, use_is_reported_once_with_a_request_for_another_tenant)
{
    constexpr std::uint64_t other = 8;
    stock_.begin_wait(tenant);
    static_cast<void>(stock_.prepare(0, now_));
    receive(5, now_);
    EXPECT_TRUE(stock_.take_for_waiting(tenant, now_));
    stock_.begin_wait(other);
    const auto items = stock_.prepare(0, now_);
    ASSERT_EQ(items.size(), 2U);
    EXPECT_EQ(items.back().tenant, tenant);
    EXPECT_EQ(items.back().used, 1U);
    EXPECT_EQ(items.back().held, 4U);
    stock_.begin_wait(tenant);
    EXPECT_EQ(stock_.prepare(0, now_).size(), 1U);
}

TEST_F(token_stock_test, requests_tokens_for_the_expected_demand_and_none_for_an_idle_tenant)
{
    for (int i = 0; i < 2000; ++i) {
        now_ += 10ms;
        static_cast<void>(stock_.take(tenant, now_));
    }
    const auto items = stock_.prepare(0, now_);
    ASSERT_EQ(items.size(), 1U);
    EXPECT_NEAR(items.front().wanted, 50, 2);
    receive(51, now_);
    EXPECT_FALSE(stock_.has_requests(0));
    EXPECT_TRUE(stock_.take(tenant, now_ + 3s));
    EXPECT_FALSE(stock_.has_requests(0));
}

} // namespace savorywheel::test
