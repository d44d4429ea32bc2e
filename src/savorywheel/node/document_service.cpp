#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/node/document_service.hpp>

#include <fmt/format.h>

#include <utility>

namespace savorywheel {

namespace {

/** A node that the platform's service answers has a newer version this soon by itself. */
constexpr std::chrono::milliseconds own_watch_time{400};

} // namespace

document_service::document_service(const configuration_decoder& decoder, environment surroundings)
    : decoder_{decoder}, environment_{std::move(surroundings)},
      watcher_{std::string{decoder.key()}, watcher_environment()}
{
}

document_watcher::environment document_service::watcher_environment()
{
    return {environment_.store, environment_.random,
            [this](stored_object document) {
                environment_.loop.post(
                    [this, item = std::move(document)] { take_document(item); });
            },
            [this](bool reachable) {
                environment_.loop.post([this, reachable] { on_store_health(reachable); });
            }};
}

void document_service::start()
{
    watcher_.start();
}

void document_service::stop()
{
    fetch_timer_.reset();
    watcher_.stop();
}

void document_service::take_document(const stored_object& document)
{
    const auto candidate = decoder_.decode(document.value);
    if (!candidate) {
        environment_.log.write(event_id::configuration_faulty,
                               fmt::format("{} at revision {}: {}", document.key, document.revision,
                                           candidate.reason().message));
        return;
    }
    take(*candidate);
}

void document_service::take(const operator_configuration& candidate)
{
    if (candidate.version <= newest_.version) {
        return;
    }
    newest_ = candidate;
    environment_.accepted(newest_);
}

void document_service::on_store_health(bool reachable)
{
    if (store_reachable_ == reachable) {
        return;
    }
    store_reachable_ = reachable;
    environment_.log.write(reachable ? event_id::store_reachable : event_id::store_unreachable,
                           decoder_.key());
}

void document_service::on_head_seen(const network_endpoint& peer, config_version head)
{
    if (head <= newest_.version || fetching_) {
        return;
    }
    fetching_ = true;
    const auto delay = store_reachable_.value_or(false) ? own_watch_time : duration::zero();
    fetch_timer_ = environment_.loop.timers().after(delay, [this, peer, head] {
        if (head <= newest_.version) {
            fetching_ = false;
            return;
        }
        fetch(peer);
    });
}

void document_service::fetch(const network_endpoint& peer)
{
    environment_.requests.submit(environment_.network.connection_to(peer),
                                 frame_kind::configuration_get, {},
                                 [this](request_client::answer answer) {
                                     environment_.loop.post([this, item = std::move(answer)] {
                                         on_fetched(item);
                                     });
                                 });
}

void document_service::on_fetched(const request_client::answer& answer)
{
    fetching_ = false;
    if (!answer) {
        environment_.log.write(event_id::configuration_not_fetched, answer.reason().message);
        return;
    }
    const auto candidate = decode<operator_configuration>(*answer);
    if (!candidate) {
        environment_.log.write(event_id::configuration_not_fetched, candidate.reason().message);
        return;
    }
    take(*candidate);
}

void document_service::on_frame(const std::shared_ptr<frame_sink>& source, frame_kind /*kind*/,
                                std::uint64_t correlation, std::span<const std::byte> payload)
{
    environment_.quota.post(payload.size(), [this, source, correlation] {
        source->send(frame_kind::configuration_value, correlation, encode(newest_));
    });
}

void document_service::on_closed(const frame_sink& /*source*/, bool /*established*/) {}

} // namespace savorywheel
