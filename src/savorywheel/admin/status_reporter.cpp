#include <savorywheel/admin/status_reporter.hpp>
#include <savorywheel/config/rfc3339_time.hpp>

namespace savorywheel {

namespace {

service_status make_service_status(const service_state& service)
{
    service_status status;
    status.service = service.spec.name;
    const auto weights = service.effective_weights();
    status.weights.assign(weights.begin(), weights.end());
    status.override_in_force = service.override_in_force;
    if (service.move) {
        status.move = to_string(service.move->status);
        status.reason = service.move->reason;
        if (service.move->due) {
            status.due = format_calendar_time(*service.move->due);
        }
    }
    return status;
}

} // namespace

status_report make_status_report(const mesh_state& state, std::span<const domain_status> domains)
{
    status_report report;
    report.domains.assign(domains.begin(), domains.end());
    report.version = state.version();
    for (const auto& [name, service] : state.services()) {
        report.services.push_back(make_service_status(*service));
    }
    return report;
}

override_report make_override_report(const mesh_state& state)
{
    override_report report;
    report.version = state.version();
    for (const auto& [name, service] : state.services()) {
        if (service->override_in_force) {
            report.overrides.push_back({name, *service->override_in_force});
        }
    }
    return report;
}

} // namespace savorywheel
