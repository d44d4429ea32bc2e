#include <savorywheel/admin/text_archive.hpp>
#include <savorywheel/encoding/codec.hpp>

namespace savorywheel {

namespace {

constexpr std::string_view text_prefix = "texts/";
constexpr std::string_view last_key = "last-text";
constexpr int max_attempts = 8;

std::string key_of(const operation_id& operation)
{
    return std::string{text_prefix} + operation.str();
}

} // namespace

outcome<std::uint64_t> text_archive::save(const operation_id& operation, std::string_view text)
{
    return store_.create(key_of(operation), text);
}

void text_archive::erase(const operation_id& operation)
{
    if (const auto object = store_.get(key_of(operation))) {
        static_cast<void>(store_.remove(object->key, object->revision));
    }
}

void text_archive::set_last_applied(const archived_text& applied)
{
    const auto value = encode_json(applied);
    for (int i = 0; i < max_attempts; ++i) {
        const auto object = store_.get(last_key);
        if (!object) {
            if (object.reason().code != failure_code::not_found || store_.create(last_key, value)) {
                return;
            }
            continue;
        }
        const auto present = decode_json<archived_text>(object->value);
        if (present && present->version > applied.version) {
            if (present->operation != applied.operation) {
                erase(applied.operation);
            }
            return;
        }
        if (store_.update(last_key, value, object->revision)) {
            if (present) {
                erase(present->operation);
            }
            return;
        }
    }
}

outcome<archived_text> text_archive::last_applied()
{
    const auto object = store_.get(last_key);
    if (!object) {
        return object.reason();
    }
    return decode_json<archived_text>(object->value);
}

outcome<std::string> text_archive::read(const operation_id& operation)
{
    auto object = store_.get(key_of(operation));
    if (!object) {
        return object.reason();
    }
    return std::move(object->value);
}

} // namespace savorywheel
