#ifndef SAVORYWHEEL_ENCODING_CONFIG_ARCHIVE_HPP
#define SAVORYWHEEL_ENCODING_CONFIG_ARCHIVE_HPP

#include <savorywheel/config/commit.hpp>
#include <savorywheel/config/configuration_delta.hpp>
#include <savorywheel/config/operator_configuration.hpp>
#include <savorywheel/config/rollout_order.hpp>
#include <savorywheel/config/rollout_record.hpp>
#include <savorywheel/encoding/core_archive.hpp>

#include <cereal/details/traits.hpp>

#include <string_view>

namespace savorywheel {

/**
 * Archives a field that earlier releases did not write: absent in their JSON objects, it keeps its
 * value. The binary messages of one protocol version always contain it.
 */
template<typename Archive, typename Value>
void archive_added(Archive& archive, const char* name, Value& value)
{
    if constexpr (requires { archive.getNodeName(); }) {
        const char* next = archive.getNodeName();
        if (next == nullptr || std::string_view{next} != name) {
            return;
        }
    }
    archive(cereal::make_nvp(name, value));
}

template<typename Archive>
void serialize(Archive& archive, key_digest& digest)
{
    if constexpr (cereal::traits::is_text_archive<Archive>::value) {
        auto text = to_string(digest);
        archive(cereal::make_nvp("digest", text));
        const auto parsed = parse_key_digest(text);
        if (!parsed) {
            throw cereal::Exception{"malformed digest of a key"};
        }
        digest = *parsed;
    }
    else {
        for (auto& value : digest.bytes) {
            archive(value);
        }
    }
}

template<typename Archive>
void serialize(Archive& archive, tenant_spec& tenant)
{
    archive(cereal::make_nvp("name", tenant.name), cereal::make_nvp("keys", tenant.keys),
            cereal::make_nvp("priority", tenant.priority),
            cereal::make_nvp("rate_per_s", tenant.rate_per_s),
            cereal::make_nvp("burst", tenant.burst));
}

template<typename Archive>
void serialize(Archive& archive, version_weight& weight)
{
    archive(cereal::make_nvp("version", weight.version),
            cereal::make_nvp("permille", weight.permille));
}

template<typename Archive>
void serialize(Archive& archive, route_spec& route)
{
    archive(cereal::make_nvp("path", route.path), cereal::make_nvp("idempotent", route.idempotent),
            cereal::make_nvp("deadline_ms", route.deadline),
            cereal::make_nvp("calls", route.calls));
    archive_added(archive, "public", route.is_public);
}

template<typename Archive>
void serialize(Archive& archive, traffic_target& target)
{
    archive(cereal::make_nvp("weights", target.weights), cereal::make_nvp("due", target.due));
}

template<typename Archive>
void serialize(Archive& archive, service_spec& service)
{
    archive(cereal::make_nvp("name", service.name),
            cereal::make_nvp("depends_on", service.depends_on),
            cereal::make_nvp("routes", service.routes), cereal::make_nvp("target", service.target));
}

template<typename Archive>
void serialize(Archive& archive, domain_spec& domain)
{
    archive(cereal::make_nvp("name", domain.name), cereal::make_nvp("region", domain.region));
}

template<typename Archive>
void serialize(Archive& archive, manual_override& item)
{
    archive(cereal::make_nvp("weights", item.weights), cereal::make_nvp("author", item.author),
            cereal::make_nvp("reason", item.reason), cereal::make_nvp("set_at", item.set_at),
            cereal::make_nvp("version", item.version));
}

template<typename Archive>
void serialize(Archive& archive, rollout_move& move)
{
    archive(cereal::make_nvp("asked_at", move.asked_at), cereal::make_nvp("from", move.from),
            cereal::make_nvp("to", move.to), cereal::make_nvp("started_at", move.started_at),
            cereal::make_nvp("due", move.due));
    archive_enum(archive, "status", move.status, move_status::last_status);
    archive(cereal::make_nvp("ended_at", move.ended_at), cereal::make_nvp("reason", move.reason));
}

template<typename Archive>
void serialize(Archive& archive, service_state& state)
{
    archive(cereal::make_nvp("changed_at", state.changed_at), cereal::make_nvp("spec", state.spec),
            cereal::make_nvp("weights", state.weights),
            cereal::make_nvp("override", state.override_in_force),
            cereal::make_nvp("move", state.move));
}

template<typename Archive>
void serialize(Archive& archive, commit& item)
{
    archive(cereal::make_nvp("version", item.version), cereal::make_nvp("base", item.base),
            cereal::make_nvp("operation", item.operation), cereal::make_nvp("author", item.author),
            cereal::make_nvp("written_at", item.written_at));
    archive_enum(archive, "kind", item.kind, commit_kind::last_kind);
    archive(cereal::make_nvp("reason", item.reason), cereal::make_nvp("upserts", item.upserts),
            cereal::make_nvp("removals", item.removals), cereal::make_nvp("domains", item.domains));
    archive_added(archive, "tenants", item.tenants);
}

template<typename Archive>
void serialize(Archive& archive, service_share& item)
{
    archive(cereal::make_nvp("service", item.service), cereal::make_nvp("weight", item.weight));
}

template<typename Archive>
void serialize(Archive& archive, host_route& route)
{
    archive(cereal::make_nvp("path", route.path));
    archive_enum(archive, "kind", route.kind, route_kind::last_kind);
    archive(cereal::make_nvp("timeout_ms", route.timeout),
            cereal::make_nvp("target_latency_ms", route.target_latency),
            cereal::make_nvp("priority", route.priority),
            cereal::make_nvp("max_attempts", route.max_attempts),
            cereal::make_nvp("public", route.is_public), cereal::make_nvp("shares", route.shares));
}

template<typename Archive>
void serialize(Archive& archive, virtual_host& item)
{
    archive(cereal::make_nvp("host", item.host), cereal::make_nvp("routes", item.routes));
}

template<typename Archive>
void serialize(Archive& archive, caller_limits& limits)
{
    archive(cereal::make_nvp("max_header_bytes", limits.max_header_bytes),
            cereal::make_nvp("max_body_bytes", limits.max_body_bytes),
            cereal::make_nvp("header_timeout_ms", limits.header_timeout),
            cereal::make_nvp("idle_timeout_ms", limits.idle_timeout));
}

template<typename Archive>
void serialize(Archive& archive, operator_configuration& item)
{
    archive(cereal::make_nvp("version", item.version), cereal::make_nvp("services", item.services),
            cereal::make_nvp("hosts", item.hosts), cereal::make_nvp("limits", item.limits),
            cereal::make_nvp("tenants", item.tenants));
}

template<typename Archive, typename Change>
void serialize(Archive& archive, list_segment<Change>& segment)
{
    archive(cereal::make_nvp("first", segment.first), cereal::make_nvp("count", segment.count),
            cereal::make_nvp("added", segment.added));
}

template<typename Archive>
void serialize(Archive& archive, host_delta& item)
{
    archive(cereal::make_nvp("host", item.host), cereal::make_nvp("routes", item.routes));
}

template<typename Archive>
void serialize(Archive& archive, configuration_delta& item)
{
    archive(cereal::make_nvp("base_version", item.base_version),
            cereal::make_nvp("base_revision", item.base_revision),
            cereal::make_nvp("version", item.version), cereal::make_nvp("services", item.services),
            cereal::make_nvp("hosts", item.hosts), cereal::make_nvp("limits", item.limits),
            cereal::make_nvp("tenants", item.tenants));
}

template<typename Archive>
void serialize(Archive& archive, rollout_record& item)
{
    archive(cereal::make_nvp("move", item.move), cereal::make_nvp("weights", item.weights));
}

template<typename Archive>
void serialize(Archive& archive, rollout_order& item)
{
    archive(cereal::make_nvp("service", item.service), cereal::make_nvp("target", item.target),
            cereal::make_nvp("duration_ms", item.duration),
            cereal::make_nvp("revision", item.revision), cereal::make_nvp("record", item.record),
            cereal::make_nvp("previous", item.previous));
}

} // namespace savorywheel

#endif
