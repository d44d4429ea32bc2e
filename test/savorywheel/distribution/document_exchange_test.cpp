#include <savorywheel/distribution/operator_documents.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <vector>

namespace savorywheel::test {

namespace {

/** Revision of one document: the configuration for service zero, otherwise a service's order. */
struct object_revision {
    int service{};
    std::uint64_t revision{};
};

void merge(const object_revision& item, operator_documents& documents)
{
    if (item.service == 0) {
        operator_configuration configuration;
        configuration.version = config_version{item.revision * 3};
        documents.merge(configuration, item.revision);
        return;
    }
    rollout_order order;
    order.service = service_name{std::to_string(item.service)};
    order.revision = item.revision;
    documents.merge(order);
}

/** Revisions by service; that of the configuration under zero. */
std::map<std::string, std::uint64_t> revisions_of(const operator_documents& documents)
{
    std::map<std::string, std::uint64_t> revisions{{"0", documents.revision}};
    for (const auto& order : documents.orders) {
        revisions[order.service.str()] = order.revision;
    }
    return revisions;
}

/** Lets each node fetch from each peer whose head promises newer documents until none does. */
bool exchange_until_quiet(std::vector<operator_documents>& nodes)
{
    for (std::size_t round = 0; round <= 2 * nodes.size(); ++round) {
        bool fetched = false;
        for (auto& node : nodes) {
            for (const auto& peer : nodes) {
                if (node.lacks_any_of(peer.head())) {
                    node.merge(peer.answer(node.request()));
                    fetched = true;
                }
            }
        }
        if (!fetched) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST(document_exchange, nodes_with_equal_revision_sums_exchange_their_documents)
{
    std::vector<operator_documents> nodes(2);
    merge({0, 100}, nodes[0]);
    merge({1, 5}, nodes[0]);
    merge({0, 90}, nodes[1]);
    merge({1, 15}, nodes[1]);
    ASSERT_EQ(nodes[0].revision_sum(), nodes[1].revision_sum());
    EXPECT_TRUE(exchange_until_quiet(nodes));
    EXPECT_EQ(revisions_of(nodes[0]), revisions_of(nodes[1]));
    EXPECT_EQ(nodes[1].revision, 100);
}

TEST(document_exchange, nodes_that_saw_any_part_of_the_changes_converge)
{
    EXPECT_TRUE(rc::check([] {
        std::vector<operator_documents> nodes(*rc::gen::inRange<std::size_t>(2, 6));
        operator_documents expected;
        for (std::uint64_t revision = 1; revision <= 16; ++revision) {
            const object_revision change{*rc::gen::inRange(0, 4), revision};
            for (auto& node : nodes) {
                if (*rc::gen::inRange(0, 3) == 0) {
                    merge(change, node);
                    merge(change, expected);
                }
            }
        }
        RC_ASSERT(exchange_until_quiet(nodes));
        for (const auto& node : nodes) {
            RC_ASSERT(revisions_of(node) == revisions_of(expected));
        }
    }));
}

TEST(document_exchange, configuration_is_sent_only_if_it_is_newer)
{
    operator_documents documents;
    merge({0, 100}, documents);
    merge({1, 105}, documents);
    const auto for_current = documents.answer(documents.request());
    EXPECT_EQ(for_current.revision, 0);
    EXPECT_EQ(for_current.orders, documents.orders);
    EXPECT_EQ(documents.answer({}).revision, 100);
}

TEST(document_exchange, node_with_orders_only_asks_for_a_configuration)
{
    operator_documents orders_only;
    merge({1, 500}, orders_only);
    operator_documents configured;
    merge({0, 100}, configured);
    ASSERT_GT(orders_only.revision_sum(), configured.revision_sum());
    EXPECT_TRUE(orders_only.lacks_any_of(configured.head()));
    EXPECT_TRUE(configured.lacks_any_of(orders_only.head()));
}

} // namespace savorywheel::test
