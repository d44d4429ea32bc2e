#include <savorywheel/admin/change_planner.hpp>
#include <savorywheel/admin/change_service.hpp>
#include <savorywheel/config/mesh_text_reader.hpp>
#include <savorywheel/config/mesh_validator.hpp>
#include <savorywheel/distribution/commit_writer.hpp>

#include <fmt/format.h>

namespace savorywheel {

namespace {

constexpr int max_append_attempts = 8;

apply_report refused(std::string reason)
{
    apply_report report;
    report.outcome = "refused";
    report.reason = std::move(reason);
    return report;
}

bool changes_nothing(const commit& change)
{
    return change.upserts.empty() && change.removals.empty() && !change.domains;
}

} // namespace

apply_report change_service::apply_text(std::string_view text, const author_name& author)
{
    findings faults;
    mesh_text_reader reader;
    const auto wanted = reader.read(text, faults);
    mesh_validator{reader.places(), environment_.time.calendar_now()}.check(wanted, faults);
    if (!faults.empty()) {
        auto report = refused("the text has faults");
        report.findings.assign(faults.items().begin(), faults.items().end());
        return report;
    }
    const auto operation = make_operation();
    for (int attempt = 0; attempt < max_append_attempts; ++attempt) {
        const auto state = latest_state();
        if (!state) {
            return refused("the platform's service does not answer: " + state.reason().message);
        }
        auto change = plan_text_change(*state, wanted, environment_.time.calendar_now());
        change.operation = operation;
        change.author = author;
        if (changes_nothing(change)) {
            return {"accepted", state->version(), operation, "the text changes nothing", {}};
        }
        const auto written = commit_writer{environment_.store}.append(change);
        if (written) {
            environment_.view.committed(change);
            return {"accepted", change.version, operation, {}, {}};
        }
        if (written.reason().code == failure_code::unknown_outcome) {
            return {"unknown", {}, operation, written.reason().message, {}};
        }
        if (written.reason().code != failure_code::conflict) {
            return refused(written.reason().message);
        }
    }
    return refused("other changes came first each time");
}

outcome<mesh_state> change_service::latest_state()
{
    auto state = environment_.view.configuration();
    if (!state) {
        return state;
    }
    const auto commits = commit_writer{environment_.store}.read_after(state->version());
    if (!commits) {
        return commits.reason();
    }
    for (const auto& item : *commits) {
        state = state->apply(item);
        if (!state) {
            return state;
        }
    }
    return state;
}

operation_id change_service::make_operation()
{
    constexpr std::uint64_t bound = std::uint64_t{1} << 62U;
    return operation_id{fmt::format("{:016x}{:016x}", environment_.random.below(bound),
                                    environment_.random.below(bound))};
}

} // namespace savorywheel
