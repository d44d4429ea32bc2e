#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/rollout/evidence_recorder.hpp>
#include <savorywheel/routing/nearest_endpoint_chooser.hpp>
#include <savorywheel/routing/weighted_version_chooser.hpp>
#include <savorywheel/traffic/proxy_handler.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <support/manual_clock.hpp>
#include <support/recording_event_log.hpp>

namespace savorywheel::test {

namespace {

constexpr int calls_per_case = 10;

/** Answers calls with generated results and remembers them. */
class generated_transport final : public call_transport {
public:
    explicit generated_transport(manual_clock& time) : time_{time} {}

    call_response call(const network_endpoint& /*peer*/, const call_request& /*call*/,
                       monotonic_time /*deadline*/) override
    {
        time_.advance(std::chrono::milliseconds{*rc::gen::inRange(0, 300)});
        const auto result =
            *rc::gen::element(call_result::answered, call_result::not_run, call_result::unknown);
        results.push_back(result);
        return {result, "generated", {200, {}, "whole"}};
    }

    std::vector<call_result> results;

private:
    manual_clock& time_;
};

std::shared_ptr<const routing_table> make_table(bool idempotent, std::size_t endpoints)
{
    auto state = std::make_shared<service_state>();
    state->spec.name = service_name{"bookdesk"};
    state->spec.routes = {{"/", idempotent, std::chrono::milliseconds{1000}, {}}};
    state->weights = {{version_name{"v1"}, weight_sum_permille}};
    auto routes = std::make_shared<service_routes>();
    routes->state = std::move(state);
    for (std::size_t i = 0; i < endpoints; ++i) {
        route_endpoint endpoint;
        endpoint.node = node_id{"n" + std::to_string(i)};
        endpoint.version = version_name{"v1"};
        endpoint.slots = 12;
        routes->endpoints.push_back(std::move(endpoint));
    }
    return std::make_shared<const routing_table>(
        config_version{1}, routing_table::route_map{{service_name{"bookdesk"}, routes}});
}

/** A proxy over a generated transport. */
struct generated_proxy {
    generated_proxy(bool idempotent, std::size_t size)
    {
        tables.publish(make_table(idempotent, size));
    }

    manual_clock time;
    seeded_random random{1};
    routing_table_holder tables;
    load_table loads;
    weighted_version_chooser versions{random};
    nearest_endpoint_chooser endpoints{failure_domain{"d"}, region_name{"r"}, loads, random};
    retry_budget retries;
    generated_transport transport{time};
    region_name region{"r"};
    evidence_recorder observer;
    metric_registry metrics;
    recording_event_log log;
    proxy_handler proxy{{time, tables, versions, endpoints, loads, retries, transport, region,
                         observer, metrics, log}};
};

bool contains(std::span<const call_result> results, call_result wanted)
{
    return std::ranges::find(results, wanted) != results.end();
}

} // namespace

TEST(proof_truthful_not_run, no_refusal_says_not_run_after_an_attempt_that_may_have_run)
{
    EXPECT_TRUE(rc::check([](bool idempotent) {
        generated_proxy mesh{idempotent, *rc::gen::inRange<std::size_t>(0, 5)};
        auto& results = mesh.transport.results;
        for (int call = 0; call < calls_per_case; ++call) {
            results.clear();
            const auto answer = mesh.proxy.handle({"POST", "/", {{"Host", "bookdesk"}}, "x"});
            if (find_header(answer.headers, "x-savorywheel-outcome") == "not-run") {
                RC_ASSERT(!contains(results, call_result::unknown));
                RC_ASSERT(!contains(results, call_result::answered));
            }
            RC_ASSERT((answer.status == 200) == contains(results, call_result::answered));
        }
    }));
}

TEST(proof_at_most_once, only_calls_that_were_not_run_are_retried_unless_idempotent)
{
    EXPECT_TRUE(rc::check([] {
        generated_proxy mesh{false, *rc::gen::inRange<std::size_t>(1, 6)};
        static_cast<void>(mesh.proxy.handle({"POST", "/", {{"Host", "bookdesk"}}, "x"}));
        const auto& results = mesh.transport.results;
        for (std::size_t i = 0; i + 1 < results.size(); ++i) {
            RC_ASSERT(results[i] == call_result::not_run);
        }
    }));
}

} // namespace savorywheel::test
