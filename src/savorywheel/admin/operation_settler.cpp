#include <savorywheel/admin/operation_settler.hpp>
#include <savorywheel/distribution/commit_keys.hpp>
#include <savorywheel/distribution/commit_writer.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <string>
#include <utility>

namespace savorywheel {

namespace {

constexpr int max_attempts = 16;

change_report make_report(const operation_record& record)
{
    const auto version =
        record.status == operation_status::accepted ? record.version : config_version{};
    return {std::string{to_string(record.status)}, version, record.operation, record.reason, {}};
}

change_report unknown(const operation_id& operation, std::string reason)
{
    return {
        std::string{to_string(operation_status::unknown)}, {}, operation, std::move(reason), {}};
}

} // namespace

change_report operation_settler::settle(const operation_id& operation)
{
    for (int i = 0; i < max_attempts; ++i) {
        if (auto report = attempt(operation)) {
            return std::move(*report);
        }
    }
    return unknown(operation, "the operation is still being tried");
}

std::optional<change_report> operation_settler::attempt(const operation_id& operation)
{
    const auto entry = records_.read(operation);
    if (!entry) {
        return entry.reason().code == failure_code::not_found
                   ? refuse_unrecorded(operation)
                   : unknown(operation, entry.reason().message);
    }
    if (entry->record.status != operation_status::unknown) {
        return make_report(entry->record);
    }
    return complete(*entry);
}

std::optional<change_report> operation_settler::refuse_unrecorded(const operation_id& operation)
{
    const operation_record refusal{
        operation, operation_status::refused, {}, "nothing was written", std::nullopt};
    if (const auto added = records_.add(refusal); !added) {
        return added.reason().code == failure_code::conflict
                   ? std::nullopt
                   : std::optional{unknown(operation, added.reason().message)};
    }
    return make_report(refusal);
}

std::optional<change_report> operation_settler::complete(const operation_record_store::entry& entry)
{
    auto record = entry.record;
    if (!record.change) {
        return unknown(record.operation, "its record has no commit");
    }
    const auto found = ensure_in_log(*record.change);
    if (!found) {
        return unknown(record.operation, found.reason().message);
    }
    record.status = *found ? operation_status::accepted : operation_status::refused;
    record.reason = *found ? "" : "another commit has its version";
    record.change.reset();
    const auto replaced = records_.replace(entry, record);
    if (replaced || *found) {
        return make_report(record);
    }
    return replaced.reason().code == failure_code::conflict
               ? std::nullopt
               : std::optional{unknown(record.operation, replaced.reason().message)};
}

outcome<bool> operation_settler::ensure_in_log(const commit& change)
{
    const auto state = source_.latest();
    if (!state) {
        return state.reason();
    }
    if (state->version() < change.version) {
        const auto written = commit_writer{store_}.append(change);
        if (written) {
            source_.publish_commit(change);
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
