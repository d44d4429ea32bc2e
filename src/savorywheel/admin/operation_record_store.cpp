#include <savorywheel/admin/operation_record_store.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <utility>

namespace savorywheel {

namespace {

std::string key_of(const operation_id& operation)
{
    return std::string{operation_prefix} + operation.str();
}

} // namespace

outcome<operation_record_store::entry> operation_record_store::read(const operation_id& operation)
{
    const auto object = store_.get(key_of(operation));
    if (!object) {
        return object.reason();
    }
    auto record = decode_json<operation_record>(object->value);
    if (!record) {
        return record.reason();
    }
    return entry{std::move(*record), object->revision};
}

outcome<operation_record_store::entry> operation_record_store::add(operation_record record)
{
    const auto revision = store_.create(key_of(record.operation), encode_json(record));
    if (!revision) {
        return revision.reason();
    }
    return entry{std::move(record), *revision};
}

outcome<operation_record_store::entry> operation_record_store::replace(const entry& old,
                                                                       operation_record record)
{
    const auto revision =
        store_.update(key_of(record.operation), encode_json(record), old.revision);
    if (!revision) {
        return revision.reason();
    }
    return entry{std::move(record), *revision};
}

} // namespace savorywheel
