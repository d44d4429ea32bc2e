#include "fixed_node_control.hpp"
#include "unreliable_store.hpp"

#include <savorywheel/admin/change_service.hpp>
#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/distribution/commit_writer.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <support/manual_clock.hpp>

#include <map>

namespace savorywheel::test {

namespace {

constexpr const char* mesh_text = R"(failure_domains: [{name: east-1, region: east}]
services:
  - name: plugboard
    routes: [{path: /check, deadline_ms: 200}]
    versions: [{name: v1, weight: 100}]
)";

/** Two operators submit changes through two nodes to one unreliable store. */
class two_operator_fixture {
public:
    two_operator_fixture()
    {
        store_.set_concurrent_writer([this] {
            static_cast<void>(second_.set_override(plugboard_, request(), metadata("rival")));
        });
    }

    change_report override_once()
    {
        return first_.set_override(plugboard_, request(), metadata("a"));
    }

    change_report apply_once()
    {
        const auto text = fmt::format("{}  - name: s{}\n    routes: [{{path: /, deadline_ms: 1}}]\n"
                                      "    versions: [{{name: v1, weight: 100}}]\n",
                                      mesh_text, ++count_);
        return first_.apply_text(text, metadata("a"));
    }

    change_report settle(const operation_id& operation) { return second_.settle(operation); }

    void start() { RC_ASSERT(second_.apply_text(mesh_text, metadata("b")).outcome == "accepted"); }

    unreliable_store& store() { return store_; }

    std::map<operation_id, config_version> log()
    {
        std::map<operation_id, config_version> versions;
        const auto commits = commit_writer{store_}.read_after(config_version{});
        RC_ASSERT(static_cast<bool>(commits));
        for (const auto& item : *commits) {
            RC_ASSERT(item.version.number == versions.size() + 1);
            RC_ASSERT(versions.emplace(item.operation, item.version).second);
        }
        return versions;
    }

private:
    change_metadata metadata(const char* author)
    {
        return {author_name{author}, operation_id{fmt::format("op-{}", ++count_)},
                config_version{1'000'000}};
    }

    override_request request()
    {
        return {{{version_name{"v1"}, weight_sum_permille}}, fmt::format("reason {}", ++count_)};
    }

    service_name plugboard_{"plugboard"};
    manual_clock time_;
    seeded_random random_{1};
    unreliable_store store_;
    fixed_node_control control_;
    change_service first_{{time_, random_, store_, control_}};
    change_service second_{{time_, random_, store_, control_}};
    int count_{};
};

rc::Gen<unreliable_store::script> any_fault_script()
{
    return rc::gen::container<unreliable_store::script>(rc::gen::element(
        write_fault::none, write_fault::none, write_fault::unavailable, write_fault::answer_lost,
        write_fault::request_lost, write_fault::delayed, write_fault::overtaken));
}

/** Checks that the log contains the operation exactly if it was reported as accepted. */
void check_report(const change_report& report, const std::map<operation_id, config_version>& log)
{
    const auto found = log.find(report.operation);
    if (report.outcome == "accepted") {
        RC_ASSERT(found != log.end());
        RC_ASSERT(found->second == report.version);
    }
    else {
        RC_ASSERT(report.outcome == "refused");
        RC_ASSERT(found == log.end());
    }
}

} // namespace

TEST(proof_operator_outcomes, reported_outcomes_match_the_log_after_settling)
{
    const bool passed = rc::check([] {
        two_operator_fixture fixture;
        fixture.start();
        std::vector<change_report> reports;
        for (int i = 0; i < 4; ++i) {
            fixture.store().set_faults(*any_fault_script());
            reports.push_back(i % 2 == 0 ? fixture.override_once() : fixture.apply_once());
            if (*rc::gen::arbitrary<bool>()) {
                fixture.store().deliver_delayed_writes();
            }
        }
        fixture.store().set_faults({});
        const bool delayed_writes_first = *rc::gen::arbitrary<bool>();
        if (delayed_writes_first) {
            fixture.store().deliver_delayed_writes();
        }
        for (auto& report : reports) {
            if (report.outcome == "unknown") {
                report = fixture.settle(report.operation);
            }
        }
        fixture.store().deliver_delayed_writes();
        const auto log = fixture.log();
        for (const auto& report : reports) {
            check_report(report, log);
        }
    });
    EXPECT_TRUE(passed);
}

TEST(proof_operator_outcomes, repeated_settling_returns_the_same_outcome)
{
    const bool passed = rc::check([] {
        two_operator_fixture fixture;
        fixture.start();
        fixture.store().set_faults(*any_fault_script());
        const auto report = fixture.override_once();
        fixture.store().set_faults(*any_fault_script());
        const auto first = fixture.settle(report.operation);
        fixture.store().set_faults({});
        fixture.store().deliver_delayed_writes();
        const auto second = fixture.settle(report.operation);
        RC_ASSERT(second.outcome != "unknown");
        RC_ASSERT(report.outcome == "unknown" || report.outcome == second.outcome);
        RC_ASSERT(first.outcome == "unknown" || first.outcome == second.outcome);
        check_report(second, fixture.log());
    });
    EXPECT_TRUE(passed);
}

} // namespace savorywheel::test
