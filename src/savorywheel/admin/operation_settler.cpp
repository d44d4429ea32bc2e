#include <savorywheel/admin/operation_settler.hpp>
#include <savorywheel/distribution/commit_keys.hpp>
#include <savorywheel/distribution/commit_writer.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <string>
#include <utility>

namespace savorywheel {

namespace {

constexpr int max_attempts = 16;

apply_report report_of(const operation_record& record)
{
    const auto version =
        record.status == operation_status::accepted ? record.version : config_version{};
    return {std::string{to_string(record.status)}, version, record.operation, record.reason, {}};
}

apply_report unknown(const operation_id& operation, std::string reason)
{
    return {
        std::string{to_string(operation_status::unknown)}, {}, operation, std::move(reason), {}};
}

} // namespace

apply_report operation_settler::settle(const operation_id& operation)
{
    for (int i = 0; i < max_attempts; ++i) {
        if (auto report = attempt(operation)) {
            return std::move(*report);
        }
    }
    return unknown(operation, "the operation is still being tried");
}

std::optional<apply_report> operation_settler::attempt(const operation_id& operation)
{
    const auto entry = ledger_.read(operation);
    if (!entry) {
        return entry.reason().code == failure_code::not_found
                   ? seal(operation)
                   : unknown(operation, entry.reason().message);
    }
    if (entry->record.status != operation_status::unknown) {
        return report_of(entry->record);
    }
    return finish(*entry);
}

std::optional<apply_report> operation_settler::seal(const operation_id& operation)
{
    const operation_record sealed{
        operation, operation_status::refused, {}, "nothing was written", std::nullopt};
    if (const auto added = ledger_.add(sealed); !added) {
        return added.reason().code == failure_code::conflict
                   ? std::nullopt
                   : std::optional{unknown(operation, added.reason().message)};
    }
    return report_of(sealed);
}

std::optional<apply_report> operation_settler::finish(const operation_ledger::entry& entry)
{
    auto record = entry.record;
    if (!record.change) {
        return unknown(record.operation, "its record has no commit");
    }
    const auto found = is_in_log(*record.change);
    if (!found) {
        return unknown(record.operation, found.reason().message);
    }
    record.status = *found ? operation_status::accepted : operation_status::refused;
    record.reason = *found ? "" : "another commit has its version";
    record.change.reset();
    const auto closed = ledger_.replace(entry, record);
    if (closed || *found) {
        return report_of(record);
    }
    return closed.reason().code == failure_code::conflict
               ? std::nullopt
               : std::optional{unknown(record.operation, closed.reason().message)};
}

outcome<bool> operation_settler::is_in_log(const commit& change)
{
    const auto state = source_.latest();
    if (!state) {
        return state.reason();
    }
    if (state->version() < change.version) {
        const auto written = commit_writer{store_}.append(change);
        if (written) {
            source_.committed(change);
        }
        return written || written.reason().code != failure_code::conflict ? written
                                                                          : outcome<bool>{false};
    }
    const auto object = store_.get(commit_key(change.version));
    if (!object) {
        return object.reason();
    }
    const auto present = decode_json<commit>(object->value);
    if (!present) {
        return present.reason();
    }
    return present->operation == change.operation;
}

} // namespace savorywheel
