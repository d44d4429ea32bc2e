#ifndef SAVORYWHEEL_ENCODING_DISTRIBUTION_ARCHIVE_HPP
#define SAVORYWHEEL_ENCODING_DISTRIBUTION_ARCHIVE_HPP

#include <savorywheel/distribution/checkpoint_manifest.hpp>
#include <savorywheel/distribution/commit_batch_message.hpp>
#include <savorywheel/distribution/commit_fetch_message.hpp>
#include <savorywheel/distribution/commit_push_message.hpp>
#include <savorywheel/distribution/confirmation_message.hpp>
#include <savorywheel/distribution/document_answer.hpp>
#include <savorywheel/distribution/document_datagram.hpp>
#include <savorywheel/distribution/document_request.hpp>
#include <savorywheel/distribution/floor_message.hpp>
#include <savorywheel/distribution/head_message.hpp>
#include <savorywheel/distribution/lease_record.hpp>
#include <savorywheel/distribution/operator_documents.hpp>
#include <savorywheel/encoding/config_archive.hpp>

namespace savorywheel {

template<typename Archive>
void serialize(Archive& archive, checkpoint& point)
{
    archive(cereal::make_nvp("version", point.version), cereal::make_nvp("domains", point.domains),
            cereal::make_nvp("services", point.services));
    archive_added(archive, "tenants", point.tenants);
}

template<typename Archive>
void serialize(Archive& archive, checkpoint_manifest& manifest)
{
    archive(cereal::make_nvp("version", manifest.version),
            cereal::make_nvp("shards", manifest.shards));
}

template<typename Archive>
void serialize(Archive& archive, commit_batch_message& batch)
{
    archive(cereal::make_nvp("base", batch.base), cereal::make_nvp("commits", batch.commits),
            cereal::make_nvp("refused", batch.refused));
}

template<typename Archive>
void serialize(Archive& archive, commit_push_message& push)
{
    archive(cereal::make_nvp("root", push.root), cereal::make_nvp("batch", push.batch));
}

template<typename Archive>
void serialize(Archive& archive, head_message& head)
{
    archive(cereal::make_nvp("version", head.version));
}

template<typename Archive>
void serialize(Archive& archive, commit_fetch_message& fetch)
{
    archive(cereal::make_nvp("after", fetch.after));
}

template<typename Archive>
void serialize(Archive& archive, floor_message& floor)
{
    archive(cereal::make_nvp("node", floor.node), cereal::make_nvp("version", floor.version),
            cereal::make_nvp("settled", floor.floor_known),
            cereal::make_nvp("live_members", floor.live_members));
}

template<typename Archive>
void serialize(Archive& archive, document_datagram& message)
{
    archive(cereal::make_nvp("protocol", message.protocol), cereal::make_nvp("id", message.id),
            cereal::make_nvp("sender_peer", message.sender_peer),
            cereal::make_nvp("request", message.request), cereal::make_nvp("part", message.part),
            cereal::make_nvp("parts", message.parts), cereal::make_nvp("answer", message.answer));
}

template<typename Archive>
void serialize(Archive& archive, lease_record& lease)
{
    archive(cereal::make_nvp("holder", lease.holder), cereal::make_nvp("peer", lease.peer),
            cereal::make_nvp("term", lease.term), cereal::make_nvp("lifetime_ms", lease.lifetime),
            cereal::make_nvp("note", lease.note));
}

template<typename Archive>
void serialize(Archive& archive, spread_position& position)
{
    archive(cereal::make_nvp("node", position.node), cereal::make_nvp("region", position.region));
}

template<typename Archive>
void serialize(Archive& archive, confirmation_message& message)
{
    archive(cereal::make_nvp("protocol", message.protocol));
    archive_enum(archive, "tree", message.tree, spread_tree::last_tree);
    archive_enum(archive, "purpose", message.purpose, confirmation_purpose::last_purpose);
    archive(cereal::make_nvp("id", message.id), cereal::make_nvp("origin", message.origin),
            cereal::make_nvp("origin_peer", message.origin_peer),
            cereal::make_nvp("sender_peer", message.sender_peer),
            cereal::make_nvp("age_ms", message.age_ms),
            cereal::make_nvp("revision", message.revision), cereal::make_nvp("head", message.head));
}

template<typename Archive>
void serialize(Archive& archive, document_request& request)
{
    archive(cereal::make_nvp("version", request.version),
            cereal::make_nvp("revision", request.revision));
}

template<typename Archive>
void serialize(Archive& archive, operator_documents& item)
{
    archive(cereal::make_nvp("configuration", item.configuration),
            cereal::make_nvp("revision", item.revision), cereal::make_nvp("orders", item.orders));
}

template<typename Archive>
void serialize(Archive& archive, document_answer& item)
{
    archive(cereal::make_nvp("documents", item.documents), cereal::make_nvp("delta", item.delta));
}

} // namespace savorywheel

#endif
