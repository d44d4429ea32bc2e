#include <savorywheel/distribution/commit_keys.hpp>
#include <savorywheel/distribution/commit_writer.hpp>
#include <savorywheel/encoding/codec.hpp>

namespace savorywheel {

outcome<bool> commit_writer::append(const commit& change)
{
    const auto written = store_.create(commit_key(change.version), encode_json(change));
    if (written) {
        return true;
    }
    if (written.reason().code == failure_code::unavailable) {
        return written.reason();
    }
    return resolve_unknown_outcome(change);
}

outcome<std::vector<commit>> commit_writer::read_after(config_version after)
{
    const auto objects = store_.list(commit_prefix, commit_key(after));
    if (!objects) {
        return objects.reason();
    }
    std::vector<commit> commits;
    for (const auto& object : objects->objects) {
        auto item = decode_json<commit>(object.value);
        if (!item) {
            return failure{failure_code::malformed, object.key + ": " + item.reason().message};
        }
        commits.push_back(std::move(*item));
    }
    return commits;
}

outcome<bool> commit_writer::resolve_unknown_outcome(const commit& change)
{
    const auto found = store_.get(commit_key(change.version));
    if (!found) {
        return failure{failure_code::unknown_outcome,
                       "the answer to the write was lost: " + found.reason().message};
    }
    const auto present = decode_json<commit>(found->value);
    if (present && present->operation == change.operation) {
        return true;
    }
    return failure{failure_code::conflict, "another commit has this version"};
}

} // namespace savorywheel
