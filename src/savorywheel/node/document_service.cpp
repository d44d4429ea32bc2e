#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/node/document_service.hpp>

#include <fmt/format.h>

#include <array>
#include <utility>

namespace savorywheel {

namespace {

/** Delay before a fetch from a peer, in which a working watch usually delivers the change. */
constexpr std::chrono::milliseconds watch_grace_period{400};
/** After this time without a response, another peer may be asked. */
constexpr std::chrono::milliseconds fetch_timeout{2000};

} // namespace

document_service::document_service(const configuration_decoder& decoder,
                                   const order_codec& rollout_order_codec, environment env)
    : decoder_{decoder}, order_codec_{rollout_order_codec},
      environment_{std::move(env)}, schedule_{environment_.loop.time()},
      configuration_watcher_{std::string{decoder.key()},
                             watcher_environment(&document_service::merge_configuration)},
      order_watcher_{std::string{rollout_order_codec.prefix()},
                     watcher_environment(&document_service::merge_order)}
{
}

document_watcher::environment document_service::watcher_environment(merge_function merge_object)
{
    return {environment_.store,
            environment_.random,
            schedule_,
            environment_.log,
            environment_.loop.time(),
            [this, merge_object](std::vector<stored_object> objects) {
                environment_.loop.post([this, merge_object, items = std::move(objects)] {
                    bool changed = false;
                    for (const auto& item : items) {
                        changed = (this->*merge_object)(item) || changed;
                    }
                    if (changed) {
                        source_ = "the store";
                        environment_.changed();
                    }
                });
            },
            [this](const outcome<bool>& store_result) {
                environment_.loop.post([this, store_result] { on_store_health(store_result); });
            }};
}

void document_service::start()
{
    configuration_watcher_.start();
    order_watcher_.start();
}

void document_service::stop()
{
    fetch_timer_.reset();
    configuration_watcher_.stop();
    order_watcher_.stop();
}

bool document_service::merge_configuration(const stored_object& object)
{
    // The watch covers all keys that begin with the configuration's.
    if (object.key != decoder_.key()) {
        log_invalid_object(object, {failure_code::malformed, "not the configuration"});
        return false;
    }
    const auto candidate = decoder_.decode(object.value);
    if (!candidate) {
        log_invalid_object(object, candidate.reason());
        return false;
    }
    if (!documents_.merge(*candidate, object.revision)) {
        return false;
    }
    for (const auto& route : candidate->unknown_kinds) {
        environment_.log.write(event_id::route_kind_unknown,
                               fmt::format("version {}, {}", candidate->version.number, route));
    }
    return true;
}

bool document_service::merge_order(const stored_object& object)
{
    const auto candidate = order_codec_.decode(object);
    if (!candidate) {
        log_invalid_object(object, candidate.reason());
        return false;
    }
    if (candidate->record_failure.code != failure_code::none) {
        log_invalid_object(object, candidate->record_failure);
    }
    return documents_.merge(candidate->order);
}

void document_service::log_invalid_object(const stored_object& object, const failure& reason)
{
    environment_.log.write(
        event_id::configuration_invalid,
        fmt::format("{} at revision {}: {}", object.key, object.revision, reason.message));
}

void document_service::on_store_health(const outcome<bool>& store_result)
{
    const auto reachable = static_cast<bool>(store_result);
    if (store_reachable_ == reachable) {
        return;
    }
    store_reachable_ = reachable;
    environment_.log.write(reachable ? event_id::store_reachable : event_id::store_unreachable,
                           store_result ? std::string{decoder_.key()}
                                        : store_result.reason().message);
    environment_.store_health(reachable);
}

void document_service::on_head_received(const network_endpoint& peer,
                                        const configuration_head& remote)
{
    if (!documents_.lacks_any_of(remote)) {
        return;
    }
    log_newer_head(peer, remote);
    if (fetching_) {
        return;
    }
    fetching_ = true;
    const auto delay = store_reachable_.value_or(false) ? watch_grace_period : duration::zero();
    fetch_timer_ = environment_.loop.timers().after(delay, [this, peer, remote] {
        if (!documents_.lacks_any_of(remote)) {
            fetching_ = false;
            return;
        }
        fetch(peer);
    });
}

void document_service::log_newer_head(const network_endpoint& peer,
                                      const configuration_head& remote)
{
    if (newest_reported_ == remote) {
        return;
    }
    newest_reported_ = remote;
    const std::array fields{
        log_field{"peer", to_string(peer)},
        log_field{"peer_version", std::to_string(remote.operator_version.number)},
        log_field{"peer_state", std::to_string(remote.version.number)},
        log_field{"version", std::to_string(documents_.configuration.version.number)},
        log_field{"state", std::to_string(documents_.revision_sum().number)}};
    environment_.log.write_decision(event_id::peer_ahead, to_string(peer), fields);
}

void document_service::fetch(const network_endpoint& peer)
{
    // Until then, a late response to the previous request is merged, too.
    environment_.requests.discard(fetch_request_);
    fetch_timer_ = environment_.loop.timers().after(fetch_timeout, [this] { fetching_ = false; });
    fetch_request_ = environment_.requests.submit(
        environment_.network.connection_to(peer), frame_kind::configuration_get,
        encode(documents_.request()), [this, peer](request_client::response answer) {
            environment_.loop.post(
                [this, peer, item = std::move(answer)] { on_fetched(peer, item); });
        });
}

void document_service::on_fetched(const network_endpoint& peer,
                                  const request_client::response& answer)
{
    fetching_ = false;
    fetch_timer_.reset();
    const auto remote =
        answer ? decode<operator_documents>(*answer) : outcome<operator_documents>{answer.reason()};
    if (!remote) {
        environment_.log.write(event_id::configuration_fetch_failed, remote.reason().message);
        return;
    }
    if (documents_.merge(*remote)) {
        source_ = to_string(peer);
        environment_.changed();
    }
}

void document_service::on_frame(const std::shared_ptr<frame_sink>& connection, frame_kind /*kind*/,
                                std::uint64_t correlation, std::span<const std::byte> payload)
{
    const auto request = decode<document_request>(payload);
    if (!request) {
        connection->close_malformed(request.reason());
        return;
    }
    environment_.quota.post(payload.size(), [this, connection, correlation, item = *request] {
        connection->send(frame_kind::configuration_value, correlation,
                         encode(documents_.answer(item)));
    });
}

void document_service::on_closed(const frame_sink& /*connection*/, bool /*established*/) {}

} // namespace savorywheel
