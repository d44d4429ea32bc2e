#ifndef SAVORYWHEEL_ENCODING_ADMIN_ARCHIVE_HPP
#define SAVORYWHEEL_ENCODING_ADMIN_ARCHIVE_HPP

#include <savorywheel/admin/archived_text.hpp>
#include <savorywheel/admin/change_report.hpp>
#include <savorywheel/admin/diff_report.hpp>
#include <savorywheel/admin/history_report.hpp>
#include <savorywheel/admin/node_state_dump.hpp>
#include <savorywheel/admin/operation_record.hpp>
#include <savorywheel/admin/override_report.hpp>
#include <savorywheel/admin/override_request.hpp>
#include <savorywheel/admin/status_report.hpp>
#include <savorywheel/encoding/config_archive.hpp>
#include <savorywheel/encoding/membership_archive.hpp>
#include <savorywheel/traffic/backend_server.hpp>

namespace savorywheel {

template<typename Archive>
void serialize(Archive& archive, backend_server& backend)
{
    archive(cereal::make_nvp("service", backend.service),
            cereal::make_nvp("version", backend.version),
            cereal::make_nvp("endpoint", backend.endpoint));
    archive_enum(archive, "state", backend.state, server_state::last_state);
    archive(cereal::make_nvp("slots", backend.slots));
}

template<typename Archive>
void serialize(Archive& archive, change_report& report)
{
    archive(
        cereal::make_nvp("outcome", report.outcome), cereal::make_nvp("version", report.version),
        cereal::make_nvp("operation", report.operation), cereal::make_nvp("reason", report.reason),
        cereal::make_nvp("findings", report.findings));
}

template<typename Archive>
void serialize(Archive& archive, service_status& status)
{
    archive(cereal::make_nvp("service", status.service),
            cereal::make_nvp("weights", status.weights), cereal::make_nvp("move", status.move),
            cereal::make_nvp("reason", status.reason), cereal::make_nvp("due", status.due),
            cereal::make_nvp("override", status.override_in_force));
}

template<typename Archive>
void serialize(Archive& archive, domain_status& status)
{
    archive(cereal::make_nvp("domain", status.domain), cereal::make_nvp("region", status.region),
            cereal::make_nvp("nodes", status.nodes), cereal::make_nvp("heard", status.heard),
            cereal::make_nvp("lowest", status.lowest), cereal::make_nvp("highest", status.highest));
}

template<typename Archive>
void serialize(Archive& archive, status_report& report)
{
    archive(cereal::make_nvp("version", report.version),
            cereal::make_nvp("domains", report.domains),
            cereal::make_nvp("services", report.services));
}

template<typename Archive>
void serialize(Archive& archive, node_state_dump& dump)
{
    archive(cereal::make_nvp("node", dump.node), cereal::make_nvp("domain", dump.domain),
            cereal::make_nvp("version", dump.version),
            cereal::make_nvp("known_version", dump.known_version),
            cereal::make_nvp("floor", dump.floor),
            cereal::make_nvp("floor_known", dump.floor_known),
            cereal::make_nvp("store_reachable", dump.store_reachable),
            cereal::make_nvp("relay", dump.relay), cereal::make_nvp("running", dump.running),
            cereal::make_nvp("waiting", dump.waiting), cereal::make_nvp("members", dump.members));
}

template<typename Archive>
void serialize(Archive& archive, override_request& request)
{
    archive(cereal::make_nvp("weights", request.weights),
            cereal::make_nvp("reason", request.reason));
}

template<typename Archive>
void serialize(Archive& archive, override_entry& entry)
{
    archive(cereal::make_nvp("service", entry.service), cereal::make_nvp("override", entry.item));
}

template<typename Archive>
void serialize(Archive& archive, override_report& report)
{
    archive(cereal::make_nvp("version", report.version),
            cereal::make_nvp("overrides", report.overrides));
}

template<typename Archive>
void serialize(Archive& archive, history_entry& entry)
{
    archive(cereal::make_nvp("version", entry.version), cereal::make_nvp("base", entry.base),
            cereal::make_nvp("kind", entry.kind), cereal::make_nvp("author", entry.author),
            cereal::make_nvp("written_at", entry.written_at),
            cereal::make_nvp("operation", entry.operation),
            cereal::make_nvp("reason", entry.reason), cereal::make_nvp("changed", entry.changed),
            cereal::make_nvp("removed", entry.removed));
}

template<typename Archive>
void serialize(Archive& archive, history_report& report)
{
    archive(cereal::make_nvp("entries", report.entries));
}

template<typename Archive>
void serialize(Archive& archive, service_difference& difference)
{
    archive(cereal::make_nvp("service", difference.service),
            cereal::make_nvp("change", difference.change),
            cereal::make_nvp("details", difference.details),
            cereal::make_nvp("override", difference.override_in_force));
}

template<typename Archive>
void serialize(Archive& archive, diff_report& report)
{
    archive(
        cereal::make_nvp("version", report.version), cereal::make_nvp("findings", report.findings),
        cereal::make_nvp("domains", report.domains), cereal::make_nvp("services", report.services));
    archive_added(archive, "tenants", report.tenants);
}

template<typename Archive>
void serialize(Archive& archive, operation_record& record)
{
    archive(cereal::make_nvp("operation", record.operation),
            cereal::make_nvp("status", record.status), cereal::make_nvp("version", record.version),
            cereal::make_nvp("reason", record.reason), cereal::make_nvp("change", record.change));
}

template<typename Archive>
void serialize(Archive& archive, archived_text& text)
{
    archive(cereal::make_nvp("operation", text.operation),
            cereal::make_nvp("version", text.version));
}

} // namespace savorywheel

#endif
