#include <fmt/format.h>
#include <gtest/gtest.h>
#include <support/booking_callers.hpp>
#include <support/fault_schedule.hpp>
#include <support/local_mesh.hpp>
#include <support/version_history.hpp>
#include <support/wait_until.hpp>

#include <algorithm>
#include <array>
#include <thread>

namespace savorywheel::test {

namespace {

constexpr std::chrono::seconds convergence_bound{4};
constexpr std::chrono::milliseconds step_period{400};
constexpr int steps = 40;
constexpr std::uint64_t seed = 20261204;

std::vector<mesh_member> eight_members()
{
    std::vector<mesh_member> members;
    const std::array<std::pair<const char*, const char*>, 4> domains{
        {{"north-1", "north"}, {"north-2", "north"}, {"south-1", "south"}, {"south-2", "south"}}};
    for (const auto* service : {"bookdesk", "plugboard"}) {
        for (const auto& [domain, region] : domains) {
            members.push_back({fmt::format("{}-{}", service, domain), domain, region, service});
        }
    }
    return members;
}

/** Configuration text of a round; rounds differ only in the deadline of /book. */
std::string config_of_round(int round)
{
    return fmt::format("failure_domains:\n"
                       "  - {{name: north-1, region: north}}\n"
                       "  - {{name: north-2, region: north}}\n"
                       "  - {{name: south-1, region: south}}\n"
                       "  - {{name: south-2, region: south}}\n"
                       "services:\n"
                       "  - name: bookdesk\n"
                       "    routes:\n"
                       "      - {{path: /book, deadline_ms: {}}}\n"
                       "    versions:\n"
                       "      - {{name: v1, weight: 100}}\n"
                       "  - name: plugboard\n"
                       "    depends_on: [bookdesk]\n"
                       "    routes:\n"
                       "      - {{path: /check, idempotent: true, deadline_ms: 800}}\n"
                       "    versions:\n"
                       "      - {{name: v1, weight: 100}}\n",
                       800 + round);
}

/** Applies configuration texts; records the accepted versions and those in use at nodes. */
class operator_client {
public:
    operator_client(local_mesh& mesh, const fault_schedule& faults) : mesh_{mesh}, faults_{faults}
    {
    }

    /** Applies the text of a round at a running node that the round selects. */
    void apply(int round)
    {
        auto index = static_cast<std::size_t>(round) % mesh_.size();
        while (!faults_.is_running(index)) {
            index = (index + 1) % mesh_.size();
        }
        const auto report = mesh_.apply(index, config_of_round(round));
        if (report && report->outcome == "accepted") {
            accepted_ = std::max(accepted_, report->version);
        }
    }

    void observe()
    {
        for (std::size_t i = 0; i < mesh_.size(); ++i) {
            if (!faults_.is_running(i)) {
                continue;
            }
            if (const auto dump = mesh_.state(i)) {
                history_.record(std::to_string(i), dump->version);
            }
        }
    }

    [[nodiscard]] config_version accepted() const noexcept { return accepted_; }
    [[nodiscard]] const std::string& regressions() const noexcept { return history_.faults(); }

private:
    local_mesh& mesh_;
    const fault_schedule& faults_;
    version_history history_;
    config_version accepted_;
};

} // namespace

// Runs 40 random fault steps under load. Afterwards all nodes must converge on the highest accepted
// version within the bound, no node may have used an older version after a newer one, no request
// may have run twice, and the override must still be in force.
TEST(proof_combined_faults, all_guarantees_hold_under_crashes_pauses_and_store_faults)
{
    local_mesh mesh{15, eight_members()};
    ASSERT_TRUE(mesh.wait_for_members());
    fault_schedule faults{mesh, seed};
    operator_client client{mesh, faults};
    client.apply(0);
    ASSERT_TRUE(mesh.wait_for_version({1}));
    const auto override_set = mesh.set_override(3, "plugboard", "v1", "reefer alarm");
    ASSERT_TRUE(override_set && override_set->outcome == "accepted");

    booking_callers callers{mesh, {0, 6}};
    for (int round = 1; round <= steps; ++round) {
        faults.step();
        if (round % 5 == 0) {
            client.apply(round);
        }
        client.observe();
        std::this_thread::sleep_for(step_period);
    }
    faults.end_all_faults();
    const auto has_converged = [&] {
        client.observe();
        for (std::size_t i = 0; i < mesh.size(); ++i) {
            const auto dump = mesh.state(i);
            if (!dump || dump->version < client.accepted()) {
                return false;
            }
        }
        return true;
    };
    EXPECT_TRUE(wait_until(has_converged, convergence_bound)) << client.accepted().number;
    callers.stop();
    for (const auto& finding : callers.history().check(mesh.folder() / "executions")) {
        ADD_FAILURE() << finding;
    }
    EXPECT_GT(callers.history().answered(), 100U);
    EXPECT_EQ(client.regressions(), "");
    EXPECT_GT(client.accepted(), override_set->version);
    const auto status = mesh.status(5);
    ASSERT_TRUE(status);
    const auto service =
        std::ranges::find(status->services, service_name{"plugboard"}, &service_status::service);
    ASSERT_NE(service, status->services.end());
    ASSERT_TRUE(service->override_in_force);
    EXPECT_EQ(service->override_in_force->reason, "reefer alarm");
}

} // namespace savorywheel::test
