#include <savorywheel/admin/difference_finder.hpp>
#include <savorywheel/admin/text_change.hpp>
#include <savorywheel/admin/text_inspector.hpp>

namespace savorywheel {

diff_report inspect_text(std::string_view text, const mesh_state& state, calendar_time now,
                         std::optional<config_version> seen)
{
    const text_change change{text, seen};
    findings faults;
    static_cast<void>(change.plan(state, now, faults));
    diff_report report;
    report.version = state.version();
    if (change.well_formed()) {
        report = difference_finder{state}.compare(change.wanted());
    }
    report.findings.assign(faults.items().begin(), faults.items().end());
    return report;
}

} // namespace savorywheel
