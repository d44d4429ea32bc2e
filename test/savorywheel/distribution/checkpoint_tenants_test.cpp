#include <savorywheel/distribution/checkpoint_writer.hpp>
#include <savorywheel/distribution/commit_log.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>

namespace savorywheel::test {

// A node that starts from a checkpoint without the tenants served requests without a key.
TEST(checkpoint, contains_the_tenants_in_shards_that_the_store_accepts)
{
    commit change;
    change.version = {1};
    change.tenants.emplace();
    for (int i = 0; i < 1000; ++i) {
        tenant_spec tenant{tenant_name{fmt::format("tenant-{}", i)}, {}};
        for (int k = 0; k < 20; ++k) {
            tenant.keys.push_back(digest_of_key(fmt::format("{}/{}", i, k)));
        }
        change.tenants->push_back(std::move(tenant));
    }
    commit_log log;
    commit_batch_message commits;
    commits.commits.push_back(change);
    EXPECT_TRUE(log.apply(commits).advanced);
    commit_batch_message base;
    base.base.emplace();
    base.base->version = {1};
    for (const auto& shard : encode_shards(log.make_checkpoint())) {
        EXPECT_LE(shard.size(), max_shard_bytes);
        auto decoded = decode_json<checkpoint>(shard);
        ASSERT_TRUE(decoded) << decoded.reason().message;
        std::ranges::move(decoded->tenants, std::back_inserter(base.base->tenants));
    }
    commit_log restored;
    EXPECT_TRUE(restored.apply(base).advanced);
    ASSERT_TRUE(restored.state().tenants());
    EXPECT_EQ(*restored.state().tenants(), *change.tenants);
}

} // namespace savorywheel::test
