#include <savorywheel/distribution/operator_documents.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace savorywheel::test {

namespace {

/** One revision of one document. */
struct object_revision {
    int service{};
    std::uint64_t revision{};
};

/** Merges an order, or the configuration for service zero; its version equals its revision. */
void merge(const object_revision& item, operator_documents& documents)
{
    if (item.service == 0) {
        operator_configuration configuration;
        configuration.version = config_version{item.revision};
        documents.merge(configuration, item.revision);
        return;
    }
    rollout_order order;
    order.service = service_name{std::to_string(item.service)};
    order.revision = item.revision;
    documents.merge(order);
}

} // namespace

TEST(operator_documents, merge_result_is_independent_of_order)
{
    EXPECT_TRUE(rc::check([] {
        std::vector<object_revision> seen;
        for (std::uint64_t revision = 1; revision <= 12; ++revision) {
            seen.push_back({*rc::gen::inRange(0, 4), revision});
        }
        auto shuffled = seen;
        for (std::size_t i = shuffled.size(); i > 1; --i) {
            std::swap(shuffled[i - 1], shuffled[*rc::gen::inRange<std::size_t>(0, i)]);
        }
        operator_documents first;
        operator_documents second;
        for (const auto& item : seen) {
            const auto before = first.revision_sum();
            merge(item, first);
            RC_ASSERT(first.revision_sum() > before);
        }
        for (const auto& item : shuffled) {
            const auto before = second.revision_sum();
            merge(item, second);
            RC_ASSERT(second.revision_sum() >= before);
        }
        RC_ASSERT(first.revision_sum() == second.revision_sum());
        RC_ASSERT(first.revision == second.revision);
    }));
}

TEST(operator_documents, older_configuration_is_rejected)
{
    operator_documents documents;
    operator_configuration newer;
    newer.version = config_version{9};
    EXPECT_TRUE(documents.merge(newer, 20));
    operator_configuration older;
    older.version = config_version{7};
    EXPECT_FALSE(documents.merge(older, 21));
    EXPECT_FALSE(documents.merge(newer, 20));
    EXPECT_EQ(documents.configuration.version, config_version{9});
}

TEST(operator_documents, orders_keep_their_record_across_encoding)
{
    operator_documents documents;
    rollout_order order;
    order.service = service_name{"bookdesk"};
    order.target = version_name{"v2"};
    order.revision = 7;
    order.record = rollout_record{{}, {{version_name{"v2"}, 50}, {version_name{"v1"}, 950}}};
    documents.merge(order);
    const auto copy = decode<operator_documents>(encode(documents));
    ASSERT_TRUE(copy);
    EXPECT_EQ(copy->orders, documents.orders);
}

namespace {

constexpr std::uint64_t first_era = std::uint64_t{1} << 40U;

rollout_order order_with(std::uint64_t revision, std::optional<move_status> status,
                         std::uint32_t permille)
{
    rollout_order order;
    order.service = service_name{"bookdesk"};
    order.target = version_name{"v2"};
    order.revision = revision;
    if (status) {
        order.record.emplace();
        order.record->move.status = *status;
        order.record->weights = {{version_name{"v2"}, permille}};
    }
    return order;
}

operator_configuration configuration_with(std::uint64_t version)
{
    operator_configuration configuration;
    configuration.version = config_version{version};
    return configuration;
}

/** Exchanges documents as two nodes that hear each other's heads; returns false if they go on. */
bool converge(operator_documents& left, operator_documents& right)
{
    constexpr int max_rounds = 3;
    for (int round = 0; round < max_rounds; ++round) {
        const auto left_head = left.head();
        const auto right_head = right.head();
        const bool left_lacks = left.lacks_any_of(right_head);
        const bool right_lacks = right.lacks_any_of(left_head);
        if (!left_lacks && !right_lacks) {
            return left_head.digest == right_head.digest;
        }
        if (left_lacks) {
            left.merge(*decode<operator_documents>(encode(right.answer(left.request()))));
        }
        if (right_lacks) {
            right.merge(*decode<operator_documents>(encode(left.answer(right.request()))));
        }
    }
    return false;
}

} // namespace

/** Guards against an older configuration of a backup, and revision sums that go back. */
TEST(restored_documents, older_configuration_of_a_backup_raises_only_the_revision)
{
    operator_documents documents;
    ASSERT_TRUE(documents.merge(configuration_with(9), 20));
    EXPECT_TRUE(documents.merge(configuration_with(7), first_era + 15));
    EXPECT_EQ(documents.configuration.version, config_version{9});
    EXPECT_EQ(documents.revision, first_era + 15);
    EXPECT_TRUE(documents.unwritten_configuration);
    EXPECT_FALSE(documents.merge(configuration_with(7), first_era + 15));
    EXPECT_TRUE(documents.merge(configuration_with(9), first_era + 16));
    EXPECT_FALSE(documents.unwritten_configuration);
    EXPECT_EQ(documents.revision, first_era + 16);
}

/** Guards against nodes that fetch from each other for ever, or stay with the older version. */
TEST(restored_documents, nodes_that_saw_different_eras_converge)
{
    operator_documents old_node;
    old_node.merge(configuration_with(9), 20);
    old_node.merge(order_with(18, move_status::done, 1000));
    for (const std::uint64_t version : {7U, 9U}) {
        for (const bool saw_both : {false, true}) {
            auto left = old_node;
            operator_documents right;
            right.merge(configuration_with(version), first_era + 15);
            right.merge(order_with(first_era + 14, move_status::in_progress, 100));
            if (saw_both) {
                left.merge(configuration_with(version), first_era + 15);
                left.merge(order_with(first_era + 14, move_status::in_progress, 100));
            }
            EXPECT_TRUE(converge(left, right)) << version << ' ' << saw_both;
            for (const auto* node : {&left, &right}) {
                EXPECT_EQ(node->configuration.version, config_version{9});
                ASSERT_EQ(node->orders.size(), 1U);
                EXPECT_EQ(node->orders.front().record->move.status, move_status::done);
                EXPECT_EQ(node->orders.front().revision, first_era + 14);
            }
        }
    }
}

/** Guards against a rollout that is run again from the step that the backup has. */
TEST(restored_documents, record_that_had_got_further_is_kept_until_it_is_written_again)
{
    operator_documents documents;
    documents.merge(order_with(20, move_status::withdrawn, 0));
    EXPECT_TRUE(documents.merge(order_with(first_era + 10, move_status::in_progress, 500)));
    EXPECT_EQ(documents.orders.front().record->move.status, move_status::withdrawn);
    EXPECT_TRUE(documents.unwritten_records.contains(service_name{"bookdesk"}));
    // Operators write the order again, without a record.
    EXPECT_TRUE(documents.merge(order_with(first_era + 12, std::nullopt, 0)));
    EXPECT_EQ(documents.orders.front().record->move.status, move_status::withdrawn);
    EXPECT_TRUE(documents.merge(order_with(first_era + 13, move_status::withdrawn, 0)));
    EXPECT_TRUE(documents.unwritten_records.empty());
    // A later start of the same rollout is not held back by the old record.
    EXPECT_TRUE(documents.merge(order_with(first_era + 14, std::nullopt, 0)));
    EXPECT_FALSE(documents.orders.front().record);
}

/** Guards against a second run of a rollout whose order is missing in the backup. */
TEST(restored_documents, record_survives_an_earlier_order_in_the_backup)
{
    operator_documents documents;
    documents.merge(order_with(20, move_status::done, 1000));
    auto earlier = order_with(first_era + 10, move_status::done, 1000);
    earlier.target = version_name{"v1"};
    EXPECT_TRUE(documents.merge(earlier));
    EXPECT_EQ(documents.orders.front().target, version_name{"v1"});
    EXPECT_TRUE(documents.merge(order_with(first_era + 12, std::nullopt, 0)));
    EXPECT_EQ(documents.orders.front().target, version_name{"v2"});
    ASSERT_TRUE(documents.orders.front().record);
    EXPECT_EQ(documents.orders.front().record->move.status, move_status::done);
    EXPECT_TRUE(documents.unwritten_records.contains(service_name{"bookdesk"}));
}

/** Guards against heads that differ from those of nodes without the change. */
TEST(restored_documents, heads_of_the_first_era_depend_on_revisions_only)
{
    operator_documents left;
    operator_documents right;
    left.merge(configuration_with(9), 20);
    right.merge(configuration_with(8), 20);
    left.merge(order_with(7, move_status::done, 1000));
    right.merge(order_with(7, move_status::in_progress, 100));
    EXPECT_EQ(left.head().digest, right.head().digest);
}

} // namespace savorywheel::test
