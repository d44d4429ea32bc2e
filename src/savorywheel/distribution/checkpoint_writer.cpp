#include <savorywheel/distribution/checkpoint_manifest.hpp>
#include <savorywheel/distribution/checkpoint_writer.hpp>
#include <savorywheel/distribution/commit_keys.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <algorithm>
#include <span>
#include <string>
#include <utility>

namespace savorywheel {

namespace {

/** Services per shard to start from; halved until the encoded shard fits. */
constexpr std::size_t initial_shard_services = 256;
/** Tenants per shard; one with 20 keys takes about 1,200 bytes. */
constexpr std::size_t shard_tenants = 256;

/** Encodes as many services as fit into one shard and removes them from the front of the span. */
std::string encode_shard(checkpoint shard, std::span<const service_state>& rest)
{
    auto count = std::min(rest.size(), initial_shard_services);
    while (true) {
        const auto part = rest.first(count);
        shard.services.assign(part.begin(), part.end());
        auto text = encode_json(shard);
        if (text.size() <= max_shard_bytes || count <= 1) {
            rest = rest.subspan(count);
            return text;
        }
        count /= 2;
    }
}

} // namespace

std::vector<std::string> encode_shards(const checkpoint& point)
{
    std::vector<std::string> shards;
    std::span<const service_state> rest{point.services};
    std::span<const tenant_spec> tenants{point.tenants};
    while (!tenants.empty()) {
        const auto part = tenants.first(std::min(tenants.size(), shard_tenants));
        shards.push_back(
            encode_json(checkpoint{point.version, {}, {}, {part.begin(), part.end()}}));
        tenants = tenants.subspan(part.size());
    }
    checkpoint shard{point.version, point.domains, {}, {}};
    do {
        shards.push_back(encode_shard(shard, rest));
        shard.domains.clear();
    } while (!rest.empty());
    return shards;
}

outcome<bool> checkpoint_writer::write(const checkpoint& point)
{
    if (const auto claimed = store_.create(claim_key(point.version), "{}"); !claimed) {
        return claimed.reason();
    }
    const auto shards = encode_shards(point);
    for (std::size_t i = 0; i < shards.size(); ++i) {
        const auto key = shard_key(point.version, static_cast<std::uint32_t>(i));
        if (const auto written = store_.create(key, shards[i]); !written) {
            return written.reason();
        }
    }
    const checkpoint_manifest manifest{point.version, static_cast<std::uint32_t>(shards.size())};
    const auto completed = store_.create(manifest_key(point.version), encode_json(manifest));
    if (!completed) {
        return completed.reason();
    }
    remove_old();
    return true;
}

void checkpoint_writer::remove_old()
{
    const auto manifests = store_.list(manifest_prefix, {});
    if (!manifests || manifests->objects.size() <= retained_checkpoints) {
        return;
    }
    const auto old = manifests->objects.size() - retained_checkpoints;
    for (const auto& object : std::span{manifests->objects}.first(old)) {
        const auto manifest = decode_json<checkpoint_manifest>(object.value);
        // Delete the manifest first, so that no reader starts on a partially deleted checkpoint.
        if (!store_.remove(object.key, object.revision) || !manifest) {
            continue;
        }
        const auto shards = store_.list(shard_key_prefix(manifest->version), {});
        if (!shards) {
            return;
        }
        for (const auto& shard : shards->objects) {
            static_cast<void>(store_.remove(shard.key, shard.revision));
        }
    }
}

} // namespace savorywheel
