#include <savorywheel/quota/quota_ledger.hpp>

#include <gtest/gtest.h>

namespace savorywheel::test {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t tenant = 7;

/** Ledger of a tenant with 40 requests per second and a burst of 40, and requests of two nodes. */
class quota_ledger_test : public testing::Test {
protected:
    quota_grant_item request(std::uint64_t session, const quota_request_item& item)
    {
        quota_request message;
        message.session = session;
        message.sequence = ++sequence_;
        message.last_ledger = last_ledger_;
        message.last_time_ms = last_time_ms_;
        message.items.push_back(item);
        const auto grant = ledger_.decide(message, now_, limits_);
        last_request_ = message;
        last_ledger_ = grant->ledger;
        last_time_ms_ = grant->time_ms;
        return grant->items.front();
    }

    quota_settings settings_;
    quota_terms terms_{make_quota_terms(settings_, 40, 40)};
    tenant_limits limits_{settings_,
                          std::vector<tenant_entry>{{tenant_name{"t"}, tenant, 0, 1, 40.0, 40.0}}};
    duration now_{1h};
    quota_ledger ledger_{99, now_, 0s};
    quota_request last_request_;
    std::uint64_t sequence_{};
    std::uint64_t last_ledger_{};
    std::uint32_t last_time_ms_{};
};

} // namespace

TEST(quota_terms, bound_of_a_window_is_kept_and_a_small_tenant_gets_tokens)
{
    const quota_settings settings;
    for (const double rate : {0.1, 5.0, 580.0, 1e9}) {
        for (const double burst : {0.0, rate, 10 * rate}) {
            const auto terms = make_quota_terms(settings, rate, burst);
            EXPECT_LE(terms.rate * 5 + terms.total, (rate * 5 + burst) * 1.1 + 20 - 1);
            EXPECT_LE(terms.max_outstanding + terms.total_after_change, terms.total * 1.000001);
            EXPECT_GE(terms.capacity, burst + 6);
            EXPECT_GE(terms.max_outstanding, 11);
        }
    }
}

TEST_F(quota_ledger_test, starts_with_an_empty_bucket_and_states_when_it_has_a_token)
{
    const auto item = request(1, {tenant, 10, 0, 0, 0});
    EXPECT_EQ(item, (quota_grant_item{tenant, quota_grant_state::exhausted, 0, 25}));
    now_ += 25ms;
    EXPECT_EQ(request(1, {tenant, 1, 0, 0, 0}).tokens, 1U);
}

// A retransmitted request must not be granted twice, and one overtaken by a later one not at all.
TEST_F(quota_ledger_test, repeated_request_gets_the_same_grant)
{
    now_ += 10s;
    EXPECT_EQ(request(1, {tenant, 10, 0, 0, 0}).tokens, 10U);
    const auto first = last_request_;
    now_ += 1s;
    const auto again = ledger_.decide(first, now_, limits_);
    EXPECT_EQ(again->items.front().tokens, 10U);
    EXPECT_EQ(again->time_ms, 10'000U);
    EXPECT_EQ(request(1, {tenant, 0, 10, 0, 0}).tokens, 0U);
    EXPECT_FALSE(ledger_.decide(first, now_, limits_));
}

TEST_F(quota_ledger_test, outstanding_tokens_are_limited_until_used_or_expired)
{
    now_ += 10s;
    const auto most = static_cast<std::uint32_t>(terms_.max_outstanding);
    const auto full = static_cast<std::uint32_t>(terms_.capacity);
    EXPECT_EQ(request(1, {tenant, 100, 0, 0, 0}).tokens, full);
    now_ += 1s;
    EXPECT_EQ(request(2, {tenant, 100, 0, 0, 0}).tokens, most - full);
    EXPECT_EQ(request(2, {tenant, 10, most - full, 0, 0}).tokens, 0U);
    EXPECT_EQ(request(1, {tenant, 0, full - 5, 5, 0}).tokens, 0U);
    EXPECT_EQ(request(2, {tenant, 10, most - full, 0, 0}).tokens, 5U);
    // What expires at nodes does not fill the bucket, which the outstanding tokens kept small.
    now_ += token_lifetime;
    const auto room = static_cast<std::uint32_t>(terms_.total - terms_.max_outstanding);
    EXPECT_EQ(request(2, {tenant, 100, 0, 5, 0}).tokens, room);
}

// Tokens of the previous coordinator and of this one together must stay within the bound.
TEST_F(quota_ledger_test, bucket_and_outstanding_tokens_share_a_smaller_total_after_a_change)
{
    now_ += 3s;
    const auto total = static_cast<std::uint32_t>(terms_.total_after_change);
    const auto held = request(1, {tenant, 10, 0, 0, 0}).tokens;
    EXPECT_EQ(held, 10U);
    now_ += 900ms;
    // The bucket has filled, but only up to the total less what the node holds.
    EXPECT_EQ(request(1, {tenant, 100, held, 0, 0}).tokens, total - held);
    EXPECT_EQ(request(1, {tenant, 100, 0, total, 0}).tokens, 0U);
}

// A bucket that fills between two requests must not gain what is outstanding until the second one.
TEST_F(quota_ledger_test, report_of_uses_after_a_change_does_not_fill_the_bucket)
{
    now_ += 600ms;
    EXPECT_EQ(request(1, {tenant, 20, 0, 0, 0}).tokens, 20U);
    now_ += 2s;
    const auto rest = static_cast<std::uint32_t>(terms_.total_after_change) - 20;
    EXPECT_EQ(request(1, {tenant, 0, 0, 20, 0}).tokens, 0U);
    EXPECT_EQ(request(1, {tenant, 100, 0, 0, 0}).tokens, rest);
}

// Tokens of the last two coordinators may be valid; with those of a third, the bound would fail.
TEST_F(quota_ledger_test, grants_nothing_for_one_lifetime_after_an_unsettled_predecessor)
{
    ledger_ = quota_ledger{100, now_, token_lifetime};
    now_ += 3900ms;
    EXPECT_EQ(request(1, {tenant, 10, 0, 0, 0}).state, quota_grant_state::unknown);
    EXPECT_FALSE(ledger_.settled(now_));
    now_ += 200ms;
    EXPECT_EQ(request(1, {tenant, 10, 0, 0, 0}).tokens, 4U);
    EXPECT_TRUE(ledger_.settled(now_));
}

// Requests that run late in place of others that did not run would exceed the bound of a window
// that begins after those were accepted.
TEST_F(quota_ledger_test, refund_of_used_tokens_does_not_allow_a_second_burst)
{
    now_ += 20s;
    const auto full = static_cast<std::uint32_t>(terms_.capacity);
    EXPECT_EQ(request(1, {tenant, 100, 0, 0, 0}).tokens, full);
    EXPECT_EQ(request(1, {tenant, 30, 0, full, 0}).tokens, 0U);
    now_ += 100ms;
    EXPECT_EQ(request(1, {tenant, 30, 0, 0, 50}).tokens, 4U);
}

TEST_F(quota_ledger_test, refund_is_granted_again_without_a_burst)
{
    now_ += 20s;
    EXPECT_EQ(request(1, {tenant, 30, 0, 0, 0}).tokens, 30U);
    for (int i = 0; i < 200; ++i) {
        now_ += 100ms;
        request(1, {tenant, 30, 0, 30, 0});
    }
    EXPECT_EQ(request(1, {tenant, 30, 0, 4, 10}).tokens, 10U);
    last_ledger_ = 1;
    EXPECT_EQ(request(1, {tenant, 30, 0, 10, 10}).tokens, 0U);
}

TEST_F(quota_ledger_test, tokens_that_a_node_neither_holds_nor_used_go_back)
{
    now_ += 20s;
    const auto full = static_cast<std::uint32_t>(terms_.capacity);
    EXPECT_EQ(request(1, {tenant, 30, 0, 0, 0}).tokens, 30U);
    EXPECT_EQ(request(1, {tenant, 100, 0, 10, 0}).tokens, full - 10);
    EXPECT_EQ(request(1, {tenant, 30, 0, full - 10, 0}).tokens, 0U);
}

TEST_F(quota_ledger_test, lowered_limit_takes_away_what_has_gathered)
{
    now_ += 20s;
    request(1, {tenant, 1, 0, 0, 0});
    limits_ = tenant_limits{settings_,
                            std::vector<tenant_entry>{{tenant_name{"t"}, tenant, 0, 1, 4.0, 4.0}}};
    EXPECT_EQ(request(1, {tenant, 30, 0, 1, 0}).tokens, 10U);
    limits_ = {};
    EXPECT_EQ(request(1, {tenant, 30, 0, 10, 0}).state, quota_grant_state::unknown);
}

} // namespace savorywheel::test
