#ifndef SAVORYWHEEL_ENCODING_ADMIN_ARCHIVE_HPP
#define SAVORYWHEEL_ENCODING_ADMIN_ARCHIVE_HPP

#include <savorywheel/admin/apply_report.hpp>
#include <savorywheel/admin/node_state_dump.hpp>
#include <savorywheel/admin/status_report.hpp>
#include <savorywheel/encoding/config_archive.hpp>
#include <savorywheel/encoding/membership_archive.hpp>
#include <savorywheel/traffic/backend_server.hpp>

namespace savorywheel {

/** @brief Lists the members of a backend server's announcement. */
template<typename Archive>
void serialize(Archive& archive, backend_server& backend)
{
    archive(cereal::make_nvp("service", backend.service),
            cereal::make_nvp("version", backend.version),
            cereal::make_nvp("endpoint", backend.endpoint),
            cereal::make_nvp("state", backend.state), cereal::make_nvp("slots", backend.slots));
}

/** @brief Lists the members of a report on a change. */
template<typename Archive>
void serialize(Archive& archive, apply_report& report)
{
    archive(
        cereal::make_nvp("outcome", report.outcome), cereal::make_nvp("version", report.version),
        cereal::make_nvp("operation", report.operation), cereal::make_nvp("reason", report.reason),
        cereal::make_nvp("findings", report.findings));
}

/** @brief Lists the members of a service's status. */
template<typename Archive>
void serialize(Archive& archive, service_status& status)
{
    archive(cereal::make_nvp("service", status.service),
            cereal::make_nvp("weights", status.weights), cereal::make_nvp("move", status.move),
            cereal::make_nvp("reason", status.reason), cereal::make_nvp("due", status.due),
            cereal::make_nvp("override", status.override_in_force));
}

/** @brief Lists the members of a status. */
template<typename Archive>
void serialize(Archive& archive, status_report& report)
{
    archive(cereal::make_nvp("version", report.version),
            cereal::make_nvp("services", report.services));
}

/** @brief Lists the members of a node's state. */
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

} // namespace savorywheel

#endif
