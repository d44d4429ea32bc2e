#include <savorywheel/admin/difference_finder.hpp>
#include <savorywheel/admin/text_change.hpp>
#include <savorywheel/admin/text_change_preview.hpp>

namespace savorywheel {

diff_report preview_text_change(std::string_view text, const mesh_state& state, calendar_time now,
                                std::optional<config_version> base_version)
{
    const text_change change{text, base_version};
    findings faults;
    static_cast<void>(change.plan(state, now, faults));
    diff_report report;
    report.version = state.version();
    if (change.well_formed()) {
        report = difference_finder{state}.compare(change.desired());
    }
    report.findings.assign(faults.items().begin(), faults.items().end());
    return report;
}

} // namespace savorywheel
