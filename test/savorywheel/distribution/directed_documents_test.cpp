#include <savorywheel/distribution/directed_documents.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace savorywheel::test {

namespace {

/** One revision of one document. */
struct object_version {
    int service{};
    std::uint64_t revision{};
};

/** Service zero stands for the configuration; its version equals its revision here. */
void merge(const object_version& item, directed_documents& documents)
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

TEST(directed_documents, nodes_that_saw_the_same_objects_in_any_order_know_the_same)
{
    EXPECT_TRUE(rc::check([] {
        std::vector<object_version> seen;
        for (std::uint64_t revision = 1; revision <= 12; ++revision) {
            seen.push_back({*rc::gen::inRange(0, 4), revision});
        }
        auto shuffled = seen;
        for (std::size_t i = shuffled.size(); i > 1; --i) {
            std::swap(shuffled[i - 1], shuffled[*rc::gen::inRange<std::size_t>(0, i)]);
        }
        directed_documents first;
        directed_documents second;
        for (const auto& item : seen) {
            const auto before = first.head();
            merge(item, first);
            RC_ASSERT(first.head() > before);
        }
        for (const auto& item : shuffled) {
            const auto before = second.head();
            merge(item, second);
            RC_ASSERT(second.head() >= before);
        }
        RC_ASSERT(first.head() == second.head());
        RC_ASSERT(first.revision == second.revision);
    }));
}

TEST(directed_documents, a_configuration_never_gives_way_to_an_older_one)
{
    directed_documents documents;
    operator_configuration newer;
    newer.version = config_version{9};
    EXPECT_TRUE(documents.merge(newer, 20));
    operator_configuration older;
    older.version = config_version{7};
    EXPECT_FALSE(documents.merge(older, 21));
    EXPECT_FALSE(documents.merge(newer, 20));
    EXPECT_EQ(documents.configuration.version, config_version{9});
}

TEST(directed_documents, peers_get_the_orders_with_what_is_recorded_of_them)
{
    directed_documents documents;
    rollout_order order;
    order.service = service_name{"bookdesk"};
    order.target = version_name{"v2"};
    order.revision = 7;
    order.record = order_record{{}, {{version_name{"v2"}, 50}, {version_name{"v1"}, 950}}};
    documents.merge(order);
    const auto copy = decode<directed_documents>(encode(documents));
    ASSERT_TRUE(copy);
    EXPECT_EQ(copy->orders, documents.orders);
}

} // namespace savorywheel::test
