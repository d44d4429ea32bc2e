#ifndef SAVORYWHEEL_ENCODING_QUOTA_ARCHIVE_HPP
#define SAVORYWHEEL_ENCODING_QUOTA_ARCHIVE_HPP

#include <savorywheel/encoding/core_archive.hpp>
#include <savorywheel/quota/quota_grant.hpp>
#include <savorywheel/quota/quota_request.hpp>

namespace savorywheel {

/** @brief Rejects a message of another kind, and one with more items than nodes send. */
template<typename Archive, typename Message>
void check_quota_message(const Message& message, std::uint8_t protocol)
{
    if constexpr (Archive::is_loading::value) {
        if (message.protocol != protocol || message.items.size() > max_quota_items) {
            throw cereal::Exception{"another protocol, or too many tenants"};
        }
    }
}

template<typename Archive>
void serialize(Archive& archive, quota_request_item& item)
{
    archive(cereal::make_nvp("tenant", item.tenant), cereal::make_nvp("wanted", item.wanted),
            cereal::make_nvp("held", item.held), cereal::make_nvp("used", item.used),
            cereal::make_nvp("not_run", item.not_run));
}

template<typename Archive>
void serialize(Archive& archive, quota_request& request)
{
    archive(cereal::make_nvp("protocol", request.protocol),
            cereal::make_nvp("shard", request.shard), cereal::make_nvp("session", request.session),
            cereal::make_nvp("sequence", request.sequence),
            cereal::make_nvp("sender_peer", request.sender_peer),
            cereal::make_nvp("last_ledger", request.last_ledger),
            cereal::make_nvp("last_time_ms", request.last_time_ms),
            cereal::make_nvp("items", request.items));
    check_quota_message<Archive>(request, quota_request_protocol);
}

template<typename Archive>
void serialize(Archive& archive, quota_grant_item& item)
{
    archive(cereal::make_nvp("tenant", item.tenant));
    archive_enum(archive, "state", item.state, quota_grant_state::last_state);
    archive(cereal::make_nvp("tokens", item.tokens),
            cereal::make_nvp("retry_after_ms", item.retry_after_ms));
}

template<typename Archive>
void serialize(Archive& archive, quota_grant& grant)
{
    archive(
        cereal::make_nvp("protocol", grant.protocol), cereal::make_nvp("shard", grant.shard),
        cereal::make_nvp("session", grant.session), cereal::make_nvp("sequence", grant.sequence),
        cereal::make_nvp("ledger", grant.ledger), cereal::make_nvp("time_ms", grant.time_ms),
        cereal::make_nvp("coordinator", grant.coordinator), cereal::make_nvp("items", grant.items));
    check_quota_message<Archive>(grant, quota_grant_protocol);
}

} // namespace savorywheel

#endif
