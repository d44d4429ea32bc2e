#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/core/system_clock_source.hpp>

#include <gtest/gtest.h>
#include <load/load_generator.hpp>
#include <load/load_report.hpp>

#include <condition_variable>
#include <mutex>

namespace savorywheel::test {

namespace {

/** Blocks every response until all expected requests are in flight. */
class barrier_client final : public http_client {
public:
    explicit barrier_client(unsigned expected) : expected_{expected} {}

    outcome<http_response> send(const network_endpoint& server, const http_request& /*request*/,
                                std::chrono::milliseconds /*timeout*/) override
    {
        std::unique_lock lock{mutex_};
        direct_ += server.port == 2 ? 1 : 0;
        ++received_;
        changed_.notify_all();
        changed_.wait(lock, [this] { return received_ >= expected_; });
        return http_response{200, {}, {}};
    }

    [[nodiscard]] unsigned direct() const { return direct_; }

private:
    unsigned expected_;
    std::mutex mutex_;
    std::condition_variable changed_;
    unsigned received_{};
    unsigned direct_{};
};

load::load_plan small_plan()
{
    load::load_plan plan;
    plan.per_second = 100.0;
    plan.period = std::chrono::milliseconds{80};
    plan.connections = 8;
    plan.nodes = {{"127.0.0.1", 1}};
    plan.targets = {{service_name{"bookdesk"}, "GET", "/", 0, 1, {{"127.0.0.1", 2}}}};
    plan.alternate_direct = true;
    return plan;
}

} // namespace

TEST(load_generator, sends_requests_when_due_while_earlier_ones_are_unanswered)
{
    constexpr unsigned expected = 8;
    system_clock_source time;
    seeded_random random{1};
    barrier_client client{expected};
    load::load_generator generator{small_plan(), {time, random, client}};
    const auto samples = generator.run();
    ASSERT_EQ(samples.size(), expected);
    EXPECT_EQ(client.direct(), expected / 2);
    const auto report = load::make_load_report(samples);
    EXPECT_EQ(report.find("mesh_calls"), 4.0);
    EXPECT_EQ(report.find("direct_calls"), 4.0);
    EXPECT_GE(report.find("mesh_max").value_or(0.0), 70.0);
}

} // namespace savorywheel::test
