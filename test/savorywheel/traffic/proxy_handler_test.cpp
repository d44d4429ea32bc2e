#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/rollout/evidence_recorder.hpp>
#include <savorywheel/routing/locality_endpoint_selector.hpp>
#include <savorywheel/routing/weighted_version_selector.hpp>
#include <savorywheel/traffic/default_caller_header_codec.hpp>
#include <savorywheel/traffic/proxy_handler.hpp>
#include <savorywheel/traffic/unlimited_quota.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <support/manual_clock.hpp>
#include <support/recording_event_log.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <utility>

namespace savorywheel::test {

namespace {

constexpr int calls_per_case = 10;

/** Has the outcome of each call at once. */
class immediate_transport : public call_transport {
public:
    void call(const network_endpoint& /*peer*/, call_request& call, monotonic_time /*deadline*/,
              const std::shared_ptr<cancellation>& /*cancel_signal*/, callback done) final
    {
        done(respond_to(call));
    }

protected:
    virtual call_response respond_to(const call_request& call) = 0;
};

/** Sends a request whose call has its outcome at once. */
http_response handle(proxy_handler& proxy, const http_request& request)
{
    std::optional<http_response> answer;
    proxy.start(request, std::make_shared<cancellation>(),
                [&answer](http_response response) { answer = std::move(response); });
    return answer.value_or(http_response{});
}

/** Returns generated results and records them. */
class generated_transport final : public immediate_transport {
public:
    explicit generated_transport(manual_clock& time) : time_{time} {}

    call_response respond_to(const call_request& /*call*/) override
    {
        time_.advance(std::chrono::milliseconds{*rc::gen::inRange(0, 300)});
        const auto result =
            *rc::gen::element(call_result::answered, call_result::not_run, call_result::unknown);
        results.push_back(result);
        return {result, call_refusal::none, "generated", {200, {}, "whole"}};
    }

    std::vector<call_result> results;

private:
    manual_clock& time_;
};

/** Adds endpoints of a version. */
void add_endpoints(service_routes& routes, const version_name& version, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        route_endpoint endpoint;
        endpoint.node = node_id{version.str() + std::to_string(i)};
        endpoint.version = version;
        endpoint.slots = 12;
        routes.endpoints.push_back(std::move(endpoint));
    }
}

std::shared_ptr<service_state> make_service(const version_name& version, bool idempotent)
{
    auto state = std::make_shared<service_state>();
    state->spec.name = service_name{"bookdesk"};
    state->spec.routes = {{"/", idempotent, std::chrono::milliseconds{1000}, {}}};
    state->weights = {{version, weight_sum_permille}};
    return state;
}

std::shared_ptr<const routing_table> make_table(const std::shared_ptr<service_routes>& routes)
{
    const auto& name = routes->state->spec.name;
    const auto hosts =
        std::make_shared<const host_table>(mesh_state::service_map{{name, routes->state}});
    return std::make_shared<const routing_table>(config_version{1},
                                                 routing_table::route_map{{name, routes}}, hosts);
}

std::shared_ptr<const routing_table> make_table(bool idempotent, std::size_t endpoints)
{
    const version_name version{"v1"};
    auto routes = std::make_shared<service_routes>();
    routes->state = make_service(version, idempotent);
    add_endpoints(*routes, version, endpoints);
    return make_table(routes);
}

/** Writes the time after which a caller should retry, in milliseconds. */
struct retry_after_codec final : caller_header_codec {
    [[nodiscard]] request_options read(const http_request& /*request*/) const override
    {
        return {};
    }
    void rewrite_headers(http_request& /*request*/) const override {}
    void set_tenant(http_request& /*request*/, const tenant_name& /*tenant*/) const override {}
    [[nodiscard]] http_response reject(const rejection& cause) const override
    {
        http_response response{cause.status(), {}, {}};
        if (cause.retry_after) {
            response.headers.push_back({"Retry-After", std::to_string(cause.retry_after->count())});
        }
        return response;
    }
};

/** Proxy with its dependencies. */
struct proxy_fixture {
    proxy_fixture(call_transport& transport, manual_clock& clock, bool idempotent, std::size_t size)
        : time{clock}, outbound{transport}
    {
        tables.publish(make_table(idempotent, size));
    }

    proxy_fixture(call_transport& transport, manual_clock& clock,
                  const std::shared_ptr<const routing_table>& table)
        : time{clock}, outbound{transport}
    {
        tables.publish(table);
    }

    [[nodiscard]] proxy_handler::environment environment(const caller_header_codec& codec)
    {
        return {time, tables,   versions, endpoints, loads, health, retries, quota,
                keys, outbound, observer, metrics,   log,   random, codec};
    }

    manual_clock& time;
    call_transport& outbound;
    seeded_random random{1};
    routing_table_holder tables;
    load_table loads;
    weighted_version_selector versions{random};
    endpoint_health health{time};
    locality_endpoint_selector endpoints{
        failure_domain{"d"}, region_name{"r"}, {loads, health, random, time}};
    retry_budget retries;
    unlimited_quota quota;
    key_confirmation keys{std::chrono::milliseconds{5000}};
    evidence_recorder observer{region_name{"r"}};
    metric_registry metrics;
    recording_event_log log;
    default_caller_header_codec header_codec;
    proxy_handler proxy{environment(header_codec)};
};

/** Proxy with a transport that returns generated results. */
struct generated_proxy {
    generated_proxy(bool idempotent, std::size_t size) : fixture{transport, time, idempotent, size}
    {
    }

    http_response handle()
    {
        return test::handle(fixture.proxy, {"POST", "/", {{"Host", "bookdesk"}}, "x"});
    }

    manual_clock time;
    generated_transport transport{time};
    proxy_fixture fixture;
};

/** Responds to each call and records its request. */
struct recording_transport final : immediate_transport {
    call_response respond_to(const call_request& call) override
    {
        last = call.request;
        return {call_result::answered, call_refusal::none, {}, {200, {}, "whole"}};
    }

    http_request last;
};

constexpr std::string_view clinic_key = "clinic-key-7f3a91";

/** @return Table with a public and another route, and with the tenant clinic if it is to have one.
 */
std::shared_ptr<const routing_table> make_tenant_table(std::uint64_t version,
                                                       std::vector<key_digest> keys)
{
    const auto plain = make_table(true, 2);
    host_route closed;
    closed.path = "/orders/";
    closed.timeout = std::chrono::milliseconds{1000};
    closed.shares = {{service_name{"bookdesk"}, 1}};
    auto open = closed;
    open.path = "/open/";
    open.is_public = true;
    const auto hosts = std::make_shared<const host_table>(
        std::vector<virtual_host>{{"a.example", {closed, open}}});
    const std::vector<tenant_spec> tenants{{tenant_name{"clinic"}, std::move(keys), 2, 0.0, 0.0}};
    return std::make_shared<const routing_table>(config_version{version}, plain->routes(), hosts,
                                                 config_version{version}, caller_limits{},
                                                 std::make_shared<const tenant_table>(tenants));
}

/** Proxy of a mesh with the tenant clinic. */
struct tenant_proxy {
    http_response handle(std::string target, std::vector<http_header> headers)
    {
        headers.push_back({"Host", "a.example"});
        return test::handle(fixture.proxy, {"GET", std::move(target), std::move(headers), {}});
    }

    http_response handle_with_key(std::string target, std::string_view key = clinic_key)
    {
        return handle(std::move(target), {{"X-Savorywheel-Key", std::string{key}}});
    }

    /** @return The value that the backend server received. */
    std::string forwarded(std::string_view name) const
    {
        return std::string{find_header(transport.last.headers, name)};
    }

    manual_clock time;
    recording_transport transport;
    proxy_fixture fixture{transport, time, make_tenant_table(2, {digest_of_key(clinic_key)})};
};

/** Refuses calls to one version for lack of capacity, and responds to the others. */
class overloaded_version_transport final : public immediate_transport {
public:
    explicit overloaded_version_transport(version_name version) : version_{std::move(version)} {}

    call_response respond_to(const call_request& call) override
    {
        versions.push_back(call.version);
        if (call.version != version_) {
            return {call_result::answered, call_refusal::none, {}, {200, {}, "whole"}};
        }
        auto refusal = call_response::not_run(call_refusal::overload, "full");
        refusal.retry_after = std::chrono::milliseconds{70};
        return refusal;
    }

    std::vector<version_name> versions;

private:
    version_name version_;
};

/** Creates a service with three endpoints of each of two versions; the new one has all weight. */
std::shared_ptr<const routing_table> make_moving_table(bool in_progress)
{
    constexpr std::size_t servers = 3;
    const version_name old_version{"v1"};
    const version_name new_version{"v2"};
    const auto state = make_service(new_version, false);
    if (in_progress) {
        rollout_move move;
        move.from = {{old_version, weight_sum_permille}};
        move.to = state->weights;
        state->move = move;
    }
    auto routes = std::make_shared<service_routes>();
    routes->state = state;
    add_endpoints(*routes, old_version, servers);
    add_endpoints(*routes, new_version, servers);
    return make_table(routes);
}

/** One hop of a call chain: its backend server forwards each request to the next hop's proxy. */
class proxy_hop final : public immediate_transport {
public:
    proxy_hop(manual_clock& time, proxy_hop* next) : next_{next}, fixture_{*this, time, true, 6} {}

    call_response respond_to(const call_request& call) override
    {
        ++attempts;
        if (next_ == nullptr) {
            return call_response::unknown("the connection was reset");
        }
        return {call_result::answered, call_refusal::none, {}, next_->handle(call.request)};
    }

    http_response handle(const http_request& request)
    {
        ++requests;
        auto named = request;
        named.headers = {{"Host", "bookdesk"}};
        return test::handle(fixture_.proxy, named);
    }

    std::size_t requests{};
    std::size_t attempts{};

private:
    proxy_hop* next_;
    proxy_fixture fixture_;
};

bool contains(std::span<const call_result> results, call_result wanted)
{
    return std::ranges::find(results, wanted) != results.end();
}

} // namespace

TEST(proof_truthful_not_run, reports_not_run_only_if_no_attempt_may_have_run)
{
    EXPECT_TRUE(rc::check([](bool idempotent) {
        generated_proxy mesh{idempotent, *rc::gen::inRange<std::size_t>(0, 5)};
        auto& results = mesh.transport.results;
        for (int call = 0; call < calls_per_case; ++call) {
            results.clear();
            const auto answer = mesh.handle();
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
        static_cast<void>(mesh.handle());
        const auto& results = mesh.transport.results;
        for (std::size_t i = 0; i + 1 < results.size(); ++i) {
            RC_ASSERT(results[i] == call_result::not_run);
        }
    }));
}

TEST(proxy_handler, gives_up_after_every_endpoint_of_the_version_refused)
{
    manual_clock time;
    overloaded_version_transport transport{version_name{"v2"}};
    proxy_fixture fixture{transport, time, false, 0};
    fixture.tables.publish(make_moving_table(false));
    const auto answer = test::handle(fixture.proxy, {"POST", "/", {{"Host", "bookdesk"}}, "x"});
    EXPECT_EQ(answer.status, 503);
    EXPECT_EQ(transport.versions, std::vector<version_name>(3, version_name{"v2"}));
}

/** Guards against a call that occupies its caller until each of many overloaded servers refused. */
TEST(proxy_handler, overloaded_service_of_many_servers_is_given_up_after_six_refusals)
{
    manual_clock time;
    overloaded_version_transport transport{version_name{"v1"}};
    proxy_fixture fixture{transport, time, true, 36};
    const auto answer = test::handle(fixture.proxy, {"POST", "/", {{"Host", "bookdesk"}}, "x"});
    EXPECT_EQ(answer.status, 503);
    EXPECT_EQ(transport.versions.size(), 6U);
}

TEST(proxy_handler, overloaded_new_version_spills_over_to_the_old_one_during_a_move)
{
    manual_clock time;
    overloaded_version_transport transport{version_name{"v2"}};
    proxy_fixture fixture{transport, time, false, 0};
    fixture.tables.publish(make_moving_table(true));
    const auto answer = test::handle(fixture.proxy, {"POST", "/", {{"Host", "bookdesk"}}, "x"});
    EXPECT_EQ(answer.status, 200);
    const std::vector<version_name> tried{version_name{"v2"}, version_name{"v2"},
                                          version_name{"v1"}};
    EXPECT_EQ(transport.versions, tried);
}

TEST(proxy_handler, route_without_a_known_service_is_refused_with_a_retry_time)
{
    manual_clock time;
    recording_transport transport;
    proxy_fixture fixture{transport, time, false, 1};
    host_route route;
    route.path = "/x/";
    route.shares = {{service_name{"missing"}, 1}};
    const auto hosts =
        std::make_shared<const host_table>(std::vector<virtual_host>{{"a.example", {route}}});
    fixture.tables.publish(std::make_shared<const routing_table>(
        config_version{2}, routing_table::route_map{}, hosts));
    const retry_after_codec codec;
    proxy_handler proxy{fixture.environment(codec)};
    const auto answer = test::handle(proxy, {"GET", "/x/", {{"Host", "a.example"}}, {}});
    EXPECT_EQ(answer.status, 503);
    EXPECT_EQ(find_header(answer.headers, "Retry-After"), "300");
    EXPECT_EQ(fixture.metrics.count({"rejections", "cause", "no_service"}), 1U);
}

TEST(proxy_handler, node_without_a_configuration_answers_503)
{
    manual_clock time;
    recording_transport transport;
    proxy_fixture fixture{transport, time, std::make_shared<const routing_table>()};
    const auto answer = test::handle(fixture.proxy, {"GET", "/", {{"Host", "bookdesk"}}, {}});
    EXPECT_EQ(answer.status, 503);
    EXPECT_EQ(fixture.metrics.count({"rejections", "cause", "no_configuration"}), 1U);
}

TEST(proxy_handler, unknown_route_is_logged_with_the_versions_in_force)
{
    manual_clock time;
    recording_transport transport;
    const auto table = std::make_shared<const routing_table>(
        config_version{130}, routing_table::route_map{}, std::make_shared<const host_table>(),
        config_version{17});
    proxy_fixture fixture{transport, time, table};
    EXPECT_EQ(test::handle(fixture.proxy, {"GET", "/x", {{"Host", "a.example"}}, {}}).status, 404);
    EXPECT_EQ(fixture.log.last_field("state"), "130");
    EXPECT_EQ(fixture.log.last_field("operator_version"), "17");
    EXPECT_EQ(fixture.log.last_field("host_routes"), "0");
}

TEST(proxy_handler, counts_its_own_responses_by_cause)
{
    manual_clock time;
    generated_transport transport{time};
    proxy_fixture fixture{transport, time, false, 0};
    EXPECT_EQ(test::handle(fixture.proxy, {"GET", "/", {{"Host", "unknown"}}, {}}).status, 404);
    EXPECT_EQ(fixture.metrics.count({"rejections", "cause", "no_route"}), 1U);
    fixture.proxy.stop_accepting();
    EXPECT_EQ(test::handle(fixture.proxy, {"GET", "/", {{"Host", "bookdesk"}}, {}}).status, 503);
    EXPECT_EQ(fixture.metrics.count({"rejections", "cause", "stopping"}), 1U);
}

TEST(proxy_tenants, request_without_a_valid_key_gets_401_after_the_route_lookup)
{
    tenant_proxy subject;
    subject.fixture.keys.advance(duration::zero());
    EXPECT_EQ(subject.handle("/orders/1", {}).status, 401);
    EXPECT_EQ(subject.handle_with_key("/orders/1", "clinic-key-7f3a92").status, 401);
    EXPECT_EQ(subject.handle_with_key("/orders/1", "").status, 401);
    EXPECT_EQ(subject.handle("/unknown/1", {}).status, 404);
    EXPECT_EQ(subject.handle_with_key("/orders/1").status, 200);
    EXPECT_EQ(subject.fixture.metrics.count({"rejections", "cause", "unauthorized"}), 3U);
}

// A backend server must be able to trust the tenant header, and never sees a key.
TEST(proxy_tenants, backend_server_receives_the_tenant_and_never_the_key)
{
    tenant_proxy subject;
    subject.fixture.keys.advance(duration::zero());
    const http_header forged{"x-savorywheel-TENANT", "bank"};
    const http_header key{"X-Savorywheel-Key", std::string{clinic_key}};
    const http_header unknown{"X-Savorywheel-Key", "other"};
    EXPECT_EQ(subject.handle("/orders/1", {forged, key, unknown}).status, 200);
    EXPECT_EQ(subject.forwarded("x-savorywheel-tenant"), "clinic");
    EXPECT_EQ(subject.forwarded("x-savorywheel-key"), "");
    EXPECT_EQ(subject.handle("/open/1", {key}).status, 200);
    EXPECT_EQ(subject.forwarded("x-savorywheel-tenant"), "clinic");
    for (const auto& headers : std::vector<std::vector<http_header>>{{forged}, {forged, unknown}}) {
        EXPECT_EQ(subject.handle("/open/1", headers).status, 200);
        EXPECT_EQ(subject.forwarded("x-savorywheel-tenant"), "");
        EXPECT_EQ(subject.forwarded("x-savorywheel-key"), "");
    }
}

TEST(proxy_tenants, without_tenants_both_headers_are_ordinary_headers)
{
    manual_clock time;
    recording_transport transport;
    proxy_fixture fixture{transport, time, true, 1};
    time.advance(std::chrono::minutes{1});
    EXPECT_EQ(test::handle(fixture.proxy, {"GET",
                                           "/",
                                           {{"Host", "bookdesk"},
                                            {"X-Savorywheel-Key", "any"},
                                            {"X-Savorywheel-Tenant", "any"}},
                                           {}})
                  .status,
              200);
    EXPECT_EQ(find_header(transport.last.headers, "X-Savorywheel-Key"), "any");
    EXPECT_EQ(find_header(transport.last.headers, "X-Savorywheel-Tenant"), "any");
}

// One caller with a removed key displaced the log lines of all other calls.
TEST(proxy_tenants, rejected_keys_are_logged_once_per_second_without_the_key)
{
    tenant_proxy subject;
    subject.fixture.keys.advance(duration::zero());
    for (int i = 0; i < 500; ++i) {
        static_cast<void>(subject.handle_with_key("/orders/secret-target", "secret-key"));
    }
    EXPECT_EQ(subject.fixture.log.count(event_id::api_key_rejected), 1U);
    EXPECT_EQ(subject.fixture.log.count(event_id::call_not_run), 0U);
    subject.time.advance(std::chrono::seconds{1});
    static_cast<void>(subject.handle_with_key("/orders/1", "secret-key"));
    EXPECT_EQ(subject.fixture.log.count(event_id::api_key_rejected), 2U);
    EXPECT_EQ(subject.fixture.log.last_field("rejected"), "500");
    EXPECT_EQ(subject.fixture.log.last_field("route"), "/orders/");
}

// A revoked key was accepted without an end by a node that is cut off from the store and its peers.
TEST(proxy_tenants, node_that_is_cut_off_refuses_keys_before_the_limit)
{
    tenant_proxy subject;
    EXPECT_EQ(subject.handle_with_key("/orders/1").status, 503);
    subject.fixture.keys.advance(duration::zero());
    subject.time.advance(std::chrono::milliseconds{4700});
    EXPECT_EQ(subject.handle_with_key("/orders/1").status, 200);
    subject.time.advance(std::chrono::milliseconds{50});
    EXPECT_EQ(subject.handle_with_key("/orders/1").status, 503);
    EXPECT_EQ(subject.handle("/orders/1", {}).status, 401);
    EXPECT_EQ(subject.handle_with_key("/open/1").status, 200);
    EXPECT_EQ(subject.forwarded("x-savorywheel-tenant"), "clinic");
    EXPECT_EQ(subject.fixture.metrics.count({"rejections", "cause", "unconfirmed"}), 2U);
    subject.fixture.tables.publish(make_tenant_table(3, {}));
    subject.fixture.keys.advance(std::chrono::milliseconds{4740});
    EXPECT_EQ(subject.handle_with_key("/orders/1").status, 401);
}

// The monotonic clock stops while a VM is suspended, so that the age seemed to be small.
TEST(proxy_tenants, node_that_was_suspended_refuses_keys)
{
    tenant_proxy subject;
    subject.fixture.keys.advance(duration::zero());
    subject.time.advance(std::chrono::milliseconds{100});
    EXPECT_EQ(subject.handle_with_key("/orders/1").status, 200);
    subject.time.suspend(std::chrono::milliseconds{4650});
    EXPECT_EQ(subject.handle_with_key("/orders/1").status, 503);
    EXPECT_EQ(subject.handle_with_key("/open/1").status, 200);
}

TEST(proof_graceful_stop, proxy_refuses_requests_that_it_could_not_finish)
{
    manual_clock time;
    recording_transport transport;
    proxy_fixture fixture{transport, time, false, 1};
    const http_request request{"POST", "/", {{"Host", "bookdesk"}}, "x"};
    fixture.proxy.reject_deadlines_after(time.now() + std::chrono::milliseconds{1000});
    EXPECT_EQ(test::handle(fixture.proxy, request).status, 200);
    time.advance(std::chrono::milliseconds{1});
    transport.last = {};
    EXPECT_EQ(test::handle(fixture.proxy, request).status, 503);
    EXPECT_EQ(transport.last.method, "");
    EXPECT_EQ(fixture.metrics.count({"rejections", "cause", "stopping"}), 1U);
}

TEST(proof_retry_budget, retries_do_not_multiply_over_27_hops)
{
    constexpr int depth = 27;
    constexpr std::size_t calls = 1000;
    manual_clock time;
    std::deque<proxy_hop> hops;
    for (int i = 0; i < depth; ++i) {
        hops.emplace_back(time, hops.empty() ? nullptr : &hops.back());
    }
    for (std::size_t i = 0; i < calls; ++i) {
        static_cast<void>(hops.back().handle({"GET", "/", {}, {}}));
    }
    for (const auto& hop : hops) {
        EXPECT_EQ(hop.requests, calls);
        EXPECT_LE(hop.attempts, calls + calls / 10 + 10);
    }
}

} // namespace savorywheel::test
