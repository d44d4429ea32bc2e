#include <savorywheel/admin/change_service.hpp>
#include <savorywheel/admin/change_submitter.hpp>
#include <savorywheel/admin/operation_settler.hpp>
#include <savorywheel/admin/operation_status.hpp>
#include <savorywheel/admin/override_release_change.hpp>
#include <savorywheel/admin/override_set_change.hpp>
#include <savorywheel/admin/text_change.hpp>
#include <savorywheel/admin/text_change_preview.hpp>

#include <fmt/format.h>

#include <utility>

namespace savorywheel {

namespace {

change_report refused(const operation_id& operation, std::string reason)
{
    return {
        std::string{to_string(operation_status::refused)}, {}, operation, std::move(reason), {}};
}

} // namespace

change_report change_service::apply_text(std::string_view text, change_metadata metadata)
{
    if (metadata.operation.empty()) {
        metadata.operation = make_operation_id();
    }
    const text_change request{text, metadata.base_version};
    if (!request.well_formed()) {
        return submit(request, metadata); // Refused with its findings before any write.
    }
    if (const auto stored = store_text(metadata.operation, request.text_without_keys()); !stored) {
        return refused(metadata.operation, stored.reason().message);
    }
    auto report = submit(request, metadata);
    finalize_text(report);
    return report;
}

change_report change_service::set_override(const service_name& service,
                                           const override_request& desired,
                                           change_metadata metadata)
{
    if (metadata.operation.empty()) {
        metadata.operation = make_operation_id();
    }
    return submit(override_set_change{service, desired, metadata}, metadata);
}

change_report change_service::release_override(const service_name& service,
                                               const override_request& desired,
                                               change_metadata metadata)
{
    if (metadata.operation.empty()) {
        metadata.operation = make_operation_id();
    }
    return submit(override_release_change{service, desired, metadata}, metadata);
}

change_report change_service::settle(const operation_id& operation)
{
    auto report = operation_settler{environment_.store, source_}.settle(operation);
    if (archive_.read(operation)) {
        finalize_text(report);
    }
    return report;
}

outcome<diff_report> change_service::preview(std::string_view text,
                                             std::optional<config_version> base_version)
{
    const auto state = environment_.control.configuration();
    if (!state) {
        return state.reason();
    }
    return preview_text_change(text, *state, environment_.time.calendar_now(), base_version);
}

outcome<std::string> change_service::current_text()
{
    const auto current = find_current_text();
    if (!current) {
        return current.reason();
    }
    return archive_.read(current->operation);
}

change_report change_service::submit(const change_request& request, const change_metadata& metadata)
{
    change_submitter submitter{environment_.time, environment_.store, source_};
    auto report = submitter.submit(request, metadata);
    return report ? std::move(*report) : settle(metadata.operation);
}

outcome<archived_text> change_service::find_current_text()
{
    auto last_applied = archive_.last_applied();
    const auto commits = environment_.control.history();
    if (!commits) {
        return last_applied;
    }
    for (auto item = commits->rbegin(); item != commits->rend(); ++item) {
        if (item->kind == commit_kind::text_applied) {
            if (!last_applied || last_applied->version < item->version) {
                return archived_text{item->operation, item->version};
            }
            break;
        }
    }
    return last_applied;
}

outcome<bool> change_service::store_text(const operation_id& operation, std::string_view text)
{
    const auto stored = archive_.save(operation, text);
    if (stored || stored.reason().code == failure_code::conflict) {
        return true;
    }
    if (stored.reason().code != failure_code::unavailable) {
        if (const auto present = archive_.read(operation); present && *present == text) {
            return true; // The write succeeded; only the response was lost.
        }
    }
    return stored.reason();
}

void change_service::finalize_text(const change_report& report)
{
    if (report.outcome == to_string(operation_status::accepted)) {
        archive_.set_last_applied({report.operation, report.version});
    }
    else if (report.outcome == to_string(operation_status::refused)) {
        archive_.erase(report.operation);
    }
}

operation_id change_service::make_operation_id()
{
    constexpr std::uint64_t bound = std::uint64_t{1} << 62U;
    return operation_id{fmt::format("{:016x}{:016x}", environment_.random.below(bound),
                                    environment_.random.below(bound))};
}

} // namespace savorywheel
