#include <savorywheel/admin/change_service.hpp>
#include <savorywheel/admin/change_submitter.hpp>
#include <savorywheel/admin/operation_settler.hpp>
#include <savorywheel/admin/operation_status.hpp>
#include <savorywheel/admin/override_release_change.hpp>
#include <savorywheel/admin/override_set_change.hpp>
#include <savorywheel/admin/text_change.hpp>
#include <savorywheel/admin/text_inspector.hpp>

#include <fmt/format.h>

#include <utility>

namespace savorywheel {

namespace {

apply_report refused(const operation_id& operation, std::string reason)
{
    return {
        std::string{to_string(operation_status::refused)}, {}, operation, std::move(reason), {}};
}

} // namespace

apply_report change_service::apply_text(std::string_view text, change_ticket ticket)
{
    if (ticket.operation.empty()) {
        ticket.operation = make_operation();
    }
    const text_change request{text, ticket.seen};
    if (!request.well_formed()) {
        return submit(request, ticket); // Refused with its findings before any write.
    }
    if (const auto kept = keep_text(ticket.operation, text); !kept) {
        return refused(ticket.operation, kept.reason().message);
    }
    auto report = submit(request, ticket);
    finish_text(report);
    return report;
}

apply_report change_service::set_override(const service_name& service,
                                          const override_request& wanted, change_ticket ticket)
{
    if (ticket.operation.empty()) {
        ticket.operation = make_operation();
    }
    return submit(override_set_change{service, wanted, ticket}, ticket);
}

apply_report change_service::release_override(const service_name& service,
                                              const override_request& wanted, change_ticket ticket)
{
    if (ticket.operation.empty()) {
        ticket.operation = make_operation();
    }
    return submit(override_release_change{service, wanted, ticket}, ticket);
}

apply_report change_service::settle(const operation_id& operation)
{
    auto report = operation_settler{environment_.store, source_}.settle(operation);
    if (archive_.read(operation)) {
        finish_text(report);
    }
    return report;
}

outcome<diff_report> change_service::inspect(std::string_view text,
                                             std::optional<config_version> seen)
{
    const auto state = environment_.view.configuration();
    if (!state) {
        return state.reason();
    }
    return inspect_text(text, *state, environment_.time.calendar_now(), seen);
}

outcome<std::string> change_service::current_text()
{
    const auto current = find_current_text();
    if (!current) {
        return current.reason();
    }
    return archive_.read(current->operation);
}

apply_report change_service::submit(const change_request& request, const change_ticket& ticket)
{
    change_submitter submitter{environment_.time, environment_.store, source_};
    auto report = submitter.submit(request, ticket);
    return report ? std::move(*report) : settle(ticket.operation);
}

outcome<archived_text> change_service::find_current_text()
{
    auto last = archive_.last();
    const auto commits = environment_.view.history();
    if (!commits) {
        return last;
    }
    for (auto item = commits->rbegin(); item != commits->rend(); ++item) {
        if (item->kind == commit_kind::text_applied) {
            if (!last || last->version < item->version) {
                return archived_text{item->operation, item->version};
            }
            break;
        }
    }
    return last;
}

outcome<bool> change_service::keep_text(const operation_id& operation, std::string_view text)
{
    const auto kept = archive_.keep(operation, text);
    if (kept || kept.reason().code == failure_code::conflict) {
        return true;
    }
    if (kept.reason().code != failure_code::unavailable) {
        if (const auto present = archive_.read(operation); present && *present == text) {
            return true; // The write succeeded; only the response was lost.
        }
    }
    return kept.reason();
}

void change_service::finish_text(const apply_report& report)
{
    if (report.outcome == to_string(operation_status::accepted)) {
        archive_.set_last({report.operation, report.version});
    }
    else if (report.outcome == to_string(operation_status::refused)) {
        archive_.drop(report.operation);
    }
}

operation_id change_service::make_operation()
{
    constexpr std::uint64_t bound = std::uint64_t{1} << 62U;
    return operation_id{fmt::format("{:016x}{:016x}", environment_.random.below(bound),
                                    environment_.random.below(bound))};
}

} // namespace savorywheel
