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

} // namespace savorywheel::test
