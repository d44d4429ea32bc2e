#include <savorywheel/admin/change_planner.hpp>
#include <savorywheel/admin/text_change.hpp>
#include <savorywheel/admin/text_conflicts.hpp>
#include <savorywheel/config/mesh_validator.hpp>

namespace savorywheel {

text_change::text_change(std::string_view text, std::optional<config_version> seen)
    : wanted_{reader_.read(text, form_faults_)}, seen_{seen}
{
}

outcome<commit> text_change::plan(const mesh_state& state, calendar_time now,
                                  findings& report) const
{
    for (const auto& fault : form_faults_.items()) {
        report.add(fault.place, fault.found, fault.expected);
    }
    mesh_validator{reader_.places(), now, &state}.check(wanted_, report);
    if (!report.empty()) {
        return failure{failure_code::invalid_argument, "the text has faults"};
    }
    find_text_conflicts(state, wanted_, seen_, reader_.places(), report);
    if (!report.empty()) {
        return failure{failure_code::conflict, "the text would undo what its writer had not seen"};
    }
    return plan_text_change(state, wanted_, now, seen_);
}

} // namespace savorywheel
