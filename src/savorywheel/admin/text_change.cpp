#include <savorywheel/admin/change_planner.hpp>
#include <savorywheel/admin/override_conflicts.hpp>
#include <savorywheel/admin/text_change.hpp>
#include <savorywheel/config/mesh_validator.hpp>

namespace savorywheel {

text_change::text_change(std::string_view text, std::optional<config_version> base_version)
    : desired_{reader_.read(text, syntax_errors_)}, base_version_{base_version}
{
}

outcome<commit> text_change::plan(const mesh_state& state, calendar_time now,
                                  findings& report) const
{
    for (const auto& fault : syntax_errors_.items()) {
        report.add(fault.place, fault.found, fault.expected);
    }
    mesh_validator{reader_.positions(), now, &state}.check(desired_, report);
    if (!report.empty()) {
        return failure{failure_code::invalid_argument, "the text has faults"};
    }
    find_override_conflicts(state, desired_, base_version_, reader_.positions(), report);
    if (!report.empty()) {
        return failure{failure_code::conflict, "the text would undo what its writer had not seen"};
    }
    return plan_text_change(state, desired_, now, base_version_);
}

} // namespace savorywheel
