#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/routing/locality_endpoint_selector.hpp>
#include <savorywheel/routing/routing_table_builder.hpp>
#include <savorywheel/routing/weighted_version_selector.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <support/manual_clock.hpp>

#include <algorithm>
#include <string>

namespace savorywheel::test {

namespace {

constexpr int changes_per_case = 30;
constexpr int members = 6;

const service_name bookdesk{"bookdesk"};

/** Generates an update of a random member, with any state and status. */
member_update generated_member(std::uint64_t incarnation)
{
    member_update update;
    update.record.id = node_id{"n" + std::to_string(*rc::gen::inRange(0, members))};
    update.record.incarnation = incarnation;
    update.record.service = *rc::gen::element(bookdesk, service_name{"other"}, service_name{});
    update.record.version = *rc::gen::element(version_name{"v1"}, version_name{"v2"});
    update.record.state = *rc::gen::element(server_state::serving, server_state::warming,
                                            server_state::draining, server_state::absent);
    update.record.slots = 12;
    update.status =
        *rc::gen::element(member_status::alive, member_status::suspect, member_status::dead);
    return update;
}

/** Generates the next commit, which splits the traffic at random between two versions. */
commit generated_commit(const mesh_state& state)
{
    service_state service;
    service.spec.name = bookdesk;
    service.spec.routes = {{"/", true, std::chrono::milliseconds{100}, {}}};
    const auto share = *rc::gen::element(0U, 10U, 500U, 1000U);
    service.weights = {{version_name{"v1"}, share},
                       {version_name{"v2"}, weight_sum_permille - share}};
    commit change;
    change.version = state.version().next();
    change.upserts = {service};
    return change;
}

/** True if the member table allows routing to the endpoint. */
bool serves(const member_table& table, const route_endpoint& endpoint)
{
    const auto* known = table.find(endpoint.node);
    if (known == nullptr) {
        return false;
    }
    const auto& [record, status] = known->update;
    return status != member_status::dead && record.service == bookdesk &&
           record.version == endpoint.version &&
           (record.state == server_state::serving || record.state == server_state::warming);
}

} // namespace

RC_GTEST_PROP(proof_known_endpoints, every_choice_is_a_known_backend_server_with_a_share, ())
{
    manual_clock time;
    seeded_random random{*rc::gen::arbitrary<std::uint64_t>()};
    load_table loads;
    endpoint_health health{time};
    weighted_version_selector versions{random};
    locality_endpoint_selector endpoints{
        failure_domain{"d"}, region_name{"r"}, {loads, health, random, time}};
    routing_table_builder builder;
    member_table table;
    mesh_state state;
    for (int i = 1; i <= changes_per_case; ++i) {
        if (*rc::gen::arbitrary<bool>()) {
            table.merge(generated_member(static_cast<std::uint64_t>(i)), time.now());
        }
        else {
            state = *state.apply(generated_commit(state));
            builder.set_state(state);
        }
        const auto routes = builder.build(table)->find(bookdesk);
        if (!routes) {
            continue;
        }
        const auto version = versions.select(*routes);
        if (!version) {
            continue;
        }
        const auto* chosen = endpoints.select(routes->endpoints, *version, {}, {});
        RC_ASSERT(chosen != nullptr);
        RC_ASSERT(serves(table, *chosen));
        RC_ASSERT(std::ranges::any_of(routes->state->effective_weights(), [&](const auto& weight) {
            return weight.version == chosen->version && weight.permille > 0;
        }));
        RC_ASSERT(routes->state->changed_at == state.find(bookdesk)->changed_at);
    }
}

} // namespace savorywheel::test
