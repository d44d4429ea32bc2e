#include <savorywheel/distribution/checkpoint_writer.hpp>
#include <savorywheel/distribution/commit_keys.hpp>
#include <savorywheel/distribution/commit_log.hpp>
#include <savorywheel/distribution/commit_reader.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <support/paging_store.hpp>

namespace savorywheel::test {

namespace {

constexpr std::size_t page = 10;

service_state service_named(const std::string& name)
{
    service_state state;
    state.spec.name = service_name{name};
    return state;
}

commit commit_at(std::uint64_t version)
{
    commit item;
    item.version = {version};
    item.upserts.push_back(service_named("s" + std::to_string(version % 7)));
    return item;
}

/** A commit with one valid service and one that depends on a missing service. */
commit invalid_commit_at(std::uint64_t version)
{
    auto item = commit_at(version);
    item.upserts.push_back(service_named("half"));
    item.upserts.back().spec.depends_on.push_back(service_name{"nowhere"});
    return item;
}

void write_commits(object_store& store, std::uint64_t first, std::uint64_t last)
{
    for (auto version = first; version <= last; ++version) {
        ASSERT_TRUE(store.create(commit_key({version}), encode_json(commit_at(version))));
    }
}

checkpoint large_checkpoint(std::uint64_t version)
{
    checkpoint point;
    point.version = {version};
    point.domains.push_back({failure_domain{"east-1"}, region_name{"east"}});
    for (std::size_t i = 0; i < 1200; ++i) {
        auto service = service_named("service-" + std::to_string(i));
        service.spec.routes.push_back(
            {"/" + std::string(2000, 'x'), false, std::chrono::milliseconds{100}, {}});
        point.services.push_back(service);
    }
    return point;
}

} // namespace

RC_GTEST_PROP(proof_bad_version, commit_is_applied_atomically, ())
{
    const auto good = *rc::gen::inRange<std::uint64_t>(0, 10);
    commit_log log;
    commit_batch_message batch;
    for (std::uint64_t version = 1; version <= good; ++version) {
        batch.commits.push_back(commit_at(version));
    }
    batch.commits.push_back(invalid_commit_at(good + 1));
    batch.commits.push_back(commit_at(good + 2));
    const auto result = log.apply(batch);
    RC_ASSERT(result.fault.has_value());
    RC_ASSERT(log.state().version() == config_version{good});
    RC_ASSERT(log.state().find(service_name{"half"}) == nullptr);
    RC_ASSERT(log.apply({std::nullopt, {commit_at(good + 1)}, false}).advanced);
}

TEST(proof_bad_version, malformed_commit_stops_reading_and_is_reported)
{
    paging_store store{page};
    write_commits(store, 1, 25);
    ASSERT_TRUE(store.create(commit_key({26}), "not a commit"));
    write_commits(store, 27, 40);
    const auto tail = commit_reader{store}.read_after({3});
    ASSERT_TRUE(tail);
    EXPECT_EQ(tail->head, config_version{25});
    EXPECT_EQ(tail->batch.commits.size(), 22U);
    ASSERT_TRUE(tail->fault);
    EXPECT_NE(tail->fault->message.find("26"), std::string::npos);
}

TEST(proof_checkpoint, log_is_read_across_pages)
{
    paging_store store{page};
    write_commits(store, 1, 95);
    const auto tail = commit_reader{store}.read_after({});
    ASSERT_TRUE(tail);
    EXPECT_EQ(tail->head, config_version{95});
    EXPECT_EQ(tail->batch.commits.size(), 95U);
}

TEST(proof_checkpoint, shards_fit_the_size_limit_and_shorten_the_replay)
{
    paging_store store{page};
    write_commits(store, 1, 205);
    const auto point = large_checkpoint(200);
    ASSERT_TRUE(checkpoint_writer{store}.write(point));
    EXPECT_GT(encode_shards(point).size(), 2U);
    const auto tail = commit_reader{store}.read_after({});
    ASSERT_TRUE(tail && tail->batch.base);
    EXPECT_EQ(tail->batch.base->services, point.services);
    EXPECT_EQ(tail->batch.base->domains.size(), 1U);
    EXPECT_EQ(tail->batch.commits.size(), 5U);
    EXPECT_EQ(tail->head, config_version{205});
    EXPECT_EQ(checkpoint_writer{store}.write(point).reason().code, failure_code::conflict);
}

TEST(proof_checkpoint, incomplete_checkpoint_is_ignored)
{
    paging_store store{page};
    write_commits(store, 1, 30);
    ASSERT_TRUE(checkpoint_writer{store}.write({{10}, {}, {service_named("old")}}));
    store.allow_writes(2);
    EXPECT_FALSE(checkpoint_writer{store}.write(large_checkpoint(20)));
    const auto tail = commit_reader{store}.read_after({});
    ASSERT_TRUE(tail && tail->batch.base);
    EXPECT_EQ(tail->batch.base->version, config_version{10});
    EXPECT_EQ(tail->head, config_version{30});
}

} // namespace savorywheel::test
