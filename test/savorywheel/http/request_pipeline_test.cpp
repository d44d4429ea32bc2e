#include <savorywheel/http/request_pipeline.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace savorywheel::test {

namespace {

pipelined_request make_request(bool is_safe)
{
    pipelined_request item;
    item.is_safe = is_safe;
    return item;
}

/** Ids of the requests that can be started now. */
std::vector<std::uint64_t> start_all(request_pipeline& pipeline)
{
    std::vector<std::uint64_t> ids;
    while (const auto* item = pipeline.start_next()) {
        ids.push_back(item->id);
    }
    return ids;
}

using ids = std::vector<std::uint64_t>;

} // namespace

TEST(request_pipeline, safe_requests_run_concurrently_and_are_answered_in_order)
{
    request_pipeline pipeline;
    for (int i = 0; i < 3; ++i) {
        pipeline.push(make_request(true));
    }
    EXPECT_EQ(start_all(pipeline), (ids{0, 1, 2}));
    pipeline.set_response(2, {202, {}, {}});
    pipeline.set_response(1, {201, {}, {}});
    EXPECT_FALSE(pipeline.pop_answered());
    pipeline.set_response(0, {200, {}, {}});
    for (const int status : {200, 201, 202}) {
        const auto answered = pipeline.pop_answered();
        ASSERT_TRUE(answered);
        EXPECT_EQ(answered->response->status, status);
    }
    EXPECT_TRUE(pipeline.empty());
}

TEST(request_pipeline, unsafe_request_starts_only_when_all_before_it_are_answered)
{
    request_pipeline pipeline;
    pipeline.push(make_request(true));
    pipeline.push(make_request(false));
    pipeline.push(make_request(true));
    EXPECT_EQ(start_all(pipeline), ids{0});
    pipeline.set_response(0, {});
    EXPECT_EQ(start_all(pipeline), ids{});
    EXPECT_TRUE(pipeline.pop_answered());
    EXPECT_EQ(start_all(pipeline), ids{1});
    pipeline.set_response(1, {});
    EXPECT_TRUE(pipeline.pop_answered());
    EXPECT_EQ(start_all(pipeline), ids{2});
}

TEST(request_pipeline, a_request_has_one_response)
{
    request_pipeline pipeline;
    pipeline.push(make_request(true));
    pipeline.set_response(0, {200, {}, "first"});
    pipeline.set_response(0, {200, {}, "second"});
    pipeline.set_response(7, {200, {}, "unknown"});
    const auto answered = pipeline.pop_answered();
    ASSERT_TRUE(answered);
    EXPECT_EQ(answered->response->body, "first");
}

TEST(request_pipeline, leaving_caller_cancels_all_requests)
{
    request_pipeline pipeline;
    auto first = make_request(true);
    auto second = make_request(false);
    const std::vector signals{first.cancel_signal, second.cancel_signal};
    pipeline.push(std::move(first));
    pipeline.push(std::move(second));
    pipeline.cancel_all();
    EXPECT_TRUE(pipeline.empty());
    EXPECT_TRUE(std::ranges::all_of(signals, [](const auto& item) { return item->cancelled(); }));
}

TEST(request_pipeline, proof_of_order_and_isolation)
{
    EXPECT_TRUE(rc::check([](const std::vector<bool>& kinds) {
        request_pipeline pipeline;
        ids running;
        ids answered;
        std::size_t sent = 0;
        while (answered.size() < kinds.size()) {
            if (sent < kinds.size() && *rc::gen::arbitrary<bool>()) {
                pipeline.push(make_request(kinds[sent++]));
            }
            for (const auto id : start_all(pipeline)) {
                // An unsafe request runs alone, after all responses before it.
                RC_ASSERT(kinds[id] || (running.empty() && answered.size() == id));
                running.push_back(id);
            }
            if (running.empty()) {
                continue;
            }
            const auto position = *rc::gen::inRange<std::size_t>(0, running.size());
            pipeline.set_response(running[position], {});
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(position));
            while (const auto item = pipeline.pop_answered()) {
                RC_ASSERT(item->id == answered.size());
                answered.push_back(item->id);
            }
        }
        RC_ASSERT(pipeline.empty());
    }));
}

} // namespace savorywheel::test
