#include <savorywheel/admin/change_submitter.hpp>
#include <savorywheel/distribution/commit_writer.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <fmt/format.h>

#include <utility>

namespace savorywheel {

namespace {

constexpr int max_attempts = 16;
constexpr std::size_t max_commit_bytes = 900'000;

bool changes_nothing(const commit& change)
{
    return change.upserts.empty() && change.removals.empty() && !change.domains && !change.tenants;
}

} // namespace

std::optional<change_report> change_submitter::submit(const change_request& request,
                                                      const change_metadata& metadata)
{
    operation_ = metadata.operation;
    const auto present = records_.read(operation_);
    if (present) {
        return std::nullopt;
    }
    if (present.reason().code != failure_code::not_found) {
        return make_report(operation_status::unknown, {}, present.reason().message);
    }
    for (int i = 0; i < max_attempts; ++i) {
        if (auto report = attempt(request, metadata)) {
            return report;
        }
        if (record_conflict_) {
            return std::nullopt;
        }
    }
    return refuse("other changes came first each time");
}

change_submitter::step_result change_submitter::attempt(const change_request& request,
                                                        const change_metadata& metadata)
{
    const auto state = source_.latest();
    if (!state) {
        return refuse("the platform's service does not answer: " + state.reason().message);
    }
    findings faults;
    auto change = request.plan(*state, time_.calendar_now(), faults);
    if (!change) {
        return refuse(change.reason().message, faults);
    }
    if (changes_nothing(*change)) {
        return accept(state->version(), "nothing to change");
    }
    change->operation = metadata.operation;
    change->author = metadata.author;
    if (const auto size = encode_json(*change).size(); size > max_commit_bytes) {
        return refuse(fmt::format("the change takes {} bytes, more than {}; make it in parts", size,
                                  max_commit_bytes));
    }
    if (auto ended = record(*change); ended || record_conflict_) {
        return ended;
    }
    return append(*change);
}

change_submitter::step_result change_submitter::record(const commit& change)
{
    operation_record desired{operation_, operation_status::unknown, change.version, {}, change};
    auto written = entry_ ? records_.replace(*entry_, desired) : records_.add(desired);
    if (written) {
        entry_ = std::move(*written);
        return std::nullopt;
    }
    const auto& reason = written.reason();
    if (reason.code == failure_code::conflict) {
        record_conflict_ = true; // Settled by another node, or submitted twice.
        return std::nullopt;
    }
    if (reason.code == failure_code::unavailable) {
        return refuse(reason.message);
    }
    return make_report(operation_status::unknown, {}, reason.message);
}

change_submitter::step_result change_submitter::append(const commit& change)
{
    const auto written = commit_writer{store_}.append(change);
    if (written) {
        source_.publish_commit(change);
        return accept(change.version, {});
    }
    switch (written.reason().code) {
    case failure_code::conflict:
        return std::nullopt;
    case failure_code::unavailable:
        return refuse(written.reason().message);
    default:
        return make_report(operation_status::unknown, {}, written.reason().message);
    }
}

change_report change_submitter::accept(config_version version, std::string reason)
{
    if (entry_) {
        // The log is authoritative and the record only speeds up settling: failures are ignored.
        static_cast<void>(records_.replace(
            *entry_, {operation_, operation_status::accepted, version, reason, std::nullopt}));
    }
    return make_report(operation_status::accepted, version, std::move(reason));
}

change_report change_submitter::refuse(std::string reason, const findings& faults)
{
    if (entry_ && !records_.replace(*entry_, {operation_, operation_status::refused,
                                              entry_->record.version, reason, std::nullopt})) {
        return make_report(operation_status::unknown, {}, std::move(reason));
    }
    auto report = make_report(operation_status::refused, {}, std::move(reason));
    report.findings.assign(faults.items().begin(), faults.items().end());
    return report;
}

change_report change_submitter::make_report(operation_status status, config_version version,
                                            std::string reason) const
{
    return {std::string{to_string(status)}, version, operation_, std::move(reason), {}};
}

} // namespace savorywheel
