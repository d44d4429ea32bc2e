#include <savorywheel/distribution/checkpoint_reader.hpp>
#include <savorywheel/distribution/commit_keys.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace savorywheel {

namespace {

bool store_failed(const failure& reason) noexcept
{
    return reason.code != failure_code::not_found && reason.code != failure_code::malformed;
}

} // namespace

outcome<checkpoint> checkpoint_reader::read_latest()
{
    const auto manifests = store_.list(manifest_prefix, {});
    if (!manifests) {
        return manifests.reason();
    }
    const auto& objects = manifests->objects;
    for (auto object = objects.rbegin(); object != objects.rend(); ++object) {
        const auto manifest = decode_json<checkpoint_manifest>(object->value);
        if (!manifest) {
            continue;
        }
        auto point = read(*manifest);
        if (point || store_failed(point.reason())) {
            return point;
        }
    }
    return failure{failure_code::not_found, "no complete checkpoint in the store"};
}

outcome<checkpoint> checkpoint_reader::read(const checkpoint_manifest& manifest)
{
    checkpoint assembled;
    assembled.version = manifest.version;
    for (std::uint32_t i = 0; i < manifest.shards; ++i) {
        const auto object = store_.get(shard_key(manifest.version, i));
        if (!object) {
            return object.reason();
        }
        auto shard = decode_json<checkpoint>(object->value);
        if (!shard || shard->version != manifest.version) {
            return failure{failure_code::malformed,
                           object->key + " is not a shard of the checkpoint"};
        }
        std::ranges::move(shard->domains, std::back_inserter(assembled.domains));
        std::ranges::move(shard->services, std::back_inserter(assembled.services));
        std::ranges::move(shard->tenants, std::back_inserter(assembled.tenants));
    }
    return assembled;
}

} // namespace savorywheel
