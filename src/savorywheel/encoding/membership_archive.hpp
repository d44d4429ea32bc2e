#ifndef SAVORYWHEEL_ENCODING_MEMBERSHIP_ARCHIVE_HPP
#define SAVORYWHEEL_ENCODING_MEMBERSHIP_ARCHIVE_HPP

#include <savorywheel/encoding/core_archive.hpp>
#include <savorywheel/membership/membership_message.hpp>
#include <savorywheel/membership/membership_sync_message.hpp>

namespace savorywheel {

template<typename Archive>
void serialize(Archive& archive, member_record& record)
{
    archive(cereal::make_nvp("id", record.id), cereal::make_nvp("domain", record.domain),
            cereal::make_nvp("region", record.region), cereal::make_nvp("peer", record.peer),
            cereal::make_nvp("service", record.service),
            cereal::make_nvp("version", record.version));
    archive_enum(archive, "state", record.state, server_state::last_state);
    archive(cereal::make_nvp("slots", record.slots),
            cereal::make_nvp("incarnation", record.incarnation),
            cereal::make_nvp("store_reachable", record.store_reachable));
}

template<typename Archive>
void serialize(Archive& archive, member_update& update)
{
    archive(cereal::make_nvp("record", update.record));
    archive_enum(archive, "status", update.status, member_status::last_status);
}

template<typename Archive>
void serialize(Archive& archive, membership_message& message)
{
    archive(cereal::make_nvp("protocol", message.protocol));
    archive_enum(archive, "kind", message.kind, membership_kind::last_kind);
    archive(cereal::make_nvp("sequence", message.sequence),
            cereal::make_nvp("sender", message.sender),
            cereal::make_nvp("sender_peer", message.sender_peer),
            cereal::make_nvp("target", message.target), cereal::make_nvp("head", message.head),
            cereal::make_nvp("table_digest", message.table_digest),
            cereal::make_nvp("proven_age_ms", message.proven_age_ms),
            cereal::make_nvp("updates", message.updates));
}

template<typename Archive>
void serialize(Archive& archive, membership_sync_message& message)
{
    archive(cereal::make_nvp("digests", message.digests),
            cereal::make_nvp("differing", message.differing),
            cereal::make_nvp("refused", message.refused),
            cereal::make_nvp("members", message.members));
}

} // namespace savorywheel

#endif
