#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/node/document_service.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace savorywheel {

namespace {

/** Delay before a fetch from a peer, in which a working watch usually delivers the change. */
constexpr std::chrono::milliseconds watch_grace_period{100};
/** Delay before a fetch from a prober, in which the head usually arrives along a tree. */
constexpr std::chrono::milliseconds tree_grace_period{100};
/** Time from the start of a watch to its response if there are changes already. */
constexpr std::chrono::milliseconds watch_response_time{200};
/** Further requests are answered at once, without the documents that this node lacks. */
constexpr std::size_t max_waiting_requests = 256;

} // namespace

document_service::document_service(const configuration_decoder& decoder,
                                   const order_codec& rollout_order_codec, environment env)
    : decoder_{decoder}, order_codec_{rollout_order_codec},
      environment_{std::move(env)}, fetcher_{fetcher_environment()},
      configuration_watcher_{
          std::string{decoder.key()},
          watcher_environment(std::string{decoder.key()}, configuration_deliveries_)},
      order_watcher_{
          std::string{rollout_order_codec.prefix()},
          watcher_environment(std::string{rollout_order_codec.prefix()}, order_deliveries_)}
{
}

document_watcher::environment document_service::watcher_environment(std::string prefix,
                                                                    delivery_monitor& deliveries)
{
    return {environment_.store,
            environment_.random,
            environment_.log,
            environment_.loop.time(),
            [this, prefix = std::move(prefix), &deliveries](std::vector<stored_object> objects) {
                environment_.loop.post([this, prefix, &deliveries, items = std::move(objects)] {
                    deliveries.record_delivery(environment_.loop.time().now());
                    if (merge_objects(prefix, items) && environment_.change_watched) {
                        environment_.change_watched();
                    }
                });
            },
            [this](const outcome<bool>& store_result) {
                environment_.loop.post([this, store_result] { on_store_health(store_result); });
            }};
}

document_fetcher::environment document_service::fetcher_environment()
{
    return {
        environment_.loop,
        environment_.network,
        environment_.requests,
        environment_.log,
        documents_,
        [this](const network_endpoint& peer, const document_answer& received) {
            return merge_answer(peer, received);
        },
        [this] { environment_.fetch_delayed(); },
        [this] { answer_waiting(); },
        [this](const network_endpoint& peer, std::uint64_t request, const document_request& base) {
            if (environment_.ask_by_datagram) {
                environment_.ask_by_datagram(peer, request, base);
            }
        }};
}

std::vector<std::string> document_service::prefixes() const
{
    return {std::string{decoder_.key()}, std::string{order_codec_.prefix()}};
}

void document_service::start()
{
    configuration_watcher_.start();
    order_watcher_.start();
}

void document_service::set_choice(const watcher_choice& choice)
{
    role_ = choice.role;
    const bool watching = watches(role_);
    counters_.watching = watching ? 1 : 0;
    const auto window = choice.rank == 0 ? watch_batch_window : standby_batch_window;
    configuration_watcher_.set_watching(watching, window);
    order_watcher_.set_watching(watching, window);
    configuration_deliveries_.reset();
    order_deliveries_.reset();
}

void document_service::stop()
{
    fetcher_.stop();
    delivery_timer_.reset();
    configuration_watcher_.stop();
    order_watcher_.stop();
}

void document_service::post_objects(std::string_view prefix, std::vector<stored_object> objects)
{
    environment_.loop.post([this, key = std::string{prefix}, items = std::move(objects)] {
        merge_objects(key, items);
    });
}

bool document_service::merge_objects(std::string_view prefix,
                                     std::span<const stored_object> objects)
{
    const bool is_configuration = prefix == decoder_.key();
    bool changed = false;
    for (const auto& item : objects) {
        changed = (is_configuration ? merge_configuration(item) : merge_order(item)) || changed;
    }
    if (changed) {
        on_documents_changed("the store");
    }
    return changed;
}

void document_service::expect_delivery(std::uint64_t previous_revision)
{
    if (!watches(role_)) {
        return;
    }
    const auto changed_by_peer = previous_revision != documents_.revision;
    (changed_by_peer ? configuration_deliveries_ : order_deliveries_)
        .expect_delivery(environment_.loop.time().now());
    delivery_timer_ =
        environment_.loop.timers().after(delivery_limit, [this] { renew_overdue_watches(); });
}

void document_service::renew_overdue_watches()
{
    const auto now = environment_.loop.time().now();
    if (configuration_deliveries_.take_overdue(now)) {
        renew(configuration_watcher_, decoder_.key());
    }
    if (order_deliveries_.take_overdue(now)) {
        renew(order_watcher_, order_codec_.prefix());
    }
}

void document_service::renew(document_watcher& watcher, std::string_view prefix)
{
    environment_.log.write(event_id::watch_renewed, std::string{prefix});
    watcher.renew();
}

void document_service::on_documents_changed(std::string source)
{
    source_ = std::move(source);
    answers_.on_documents_changed();
    environment_.changed();
    fetcher_.on_documents_changed();
    answer_waiting();
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
    if (!replace_configuration(*candidate, object.revision)) {
        return false;
    }
    const auto& accepted = documents_.configuration;
    for (const auto& route : accepted.unknown_kinds) {
        environment_.log.write(event_id::route_kind_unknown,
                               fmt::format("version {}, {}", accepted.version.number, route));
    }
    return true;
}

bool document_service::replace_configuration(const operator_configuration& candidate,
                                             std::uint64_t revision)
{
    if (documents_.is_newer(candidate.version, revision)) {
        answers_.keep(documents_.configuration, documents_.revision);
    }
    return documents_.merge(candidate, revision);
}

outcome<bool> document_service::merge_answer(const network_endpoint& peer,
                                             const document_answer& received)
{
    const auto previous = documents_.revision;
    const auto& remote = received.documents;
    outcome<bool> configuration = false;
    if (!received.delta) {
        configuration = replace_configuration(remote.configuration, remote.revision);
    }
    else if (documents_.is_newer(received.delta->version, remote.revision)) {
        const auto candidate = apply_configuration_delta(documents_.configuration,
                                                         documents_.revision, *received.delta);
        configuration = candidate ? replace_configuration(*candidate, remote.revision)
                                  : outcome<bool>{candidate.reason()};
    }
    bool changed = configuration && *configuration;
    for (const auto& order : remote.orders) {
        changed = documents_.merge(order) || changed;
    }
    if (changed) {
        expect_delivery(previous);
        on_documents_changed(to_string(peer));
    }
    return configuration;
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
                                        const configuration_head& remote, head_route route)
{
    if (!documents_.lacks_any_of(remote)) {
        return;
    }
    log_newer_head(peer, remote);
    fetcher_.add_source(peer, remote, fetch_delay(remote, route));
}

duration document_service::fetch_delay(const configuration_head& remote, head_route route) const
{
    if (!store_reachable_.value_or(false)) {
        return duration::zero();
    }
    if (role_ != watch_role::everyone) {
        // The documents follow the message down the tree. That of a prober may come from another
        // region, and the message of the tree is on its way.
        return route == head_route::tree ? duration::zero() : tree_grace_period;
    }
    // After a delivery, the next watch starts at the end of the batch window.
    const bool lacks_configuration = remote.operator_version > documents_.configuration.version;
    const auto& deliveries = lacks_configuration ? configuration_deliveries_ : order_deliveries_;
    const auto next_delivery = deliveries.delivered_at() + watch_batch_window + watch_response_time;
    return std::max<duration>(watch_grace_period, next_delivery - environment_.loop.time().now());
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

void document_service::on_frame(const std::shared_ptr<frame_sink>& connection, frame_kind /*kind*/,
                                std::uint64_t correlation, std::span<const std::byte> payload)
{
    const auto request = decode<document_request>(payload);
    if (!request) {
        connection->close_malformed(request.reason());
        return;
    }
    environment_.quota.post(payload.size(), [this, connection, correlation, wanted = *request] {
        const waiting_request item{connection, correlation, wanted};
        const bool is_newer = answers_.has_newer(wanted);
        if (!is_newer && fetcher_.active() && waiting_requests_.size() < max_waiting_requests) {
            waiting_requests_.push_back(item);
            return;
        }
        answer(item);
    });
}

void document_service::answer(const waiting_request& item)
{
    item.connection->send(frame_kind::configuration_value, item.correlation,
                          answers_.answer(item.request));
}

std::span<const std::byte> document_service::newer_documents(const document_request& request)
{
    return answers_.has_newer(request) ? std::span<const std::byte>{answers_.answer(request)}
                                       : std::span<const std::byte>{};
}

void document_service::answer_waiting()
{
    for (const auto& item : std::exchange(waiting_requests_, {})) {
        answer(item);
    }
}

void document_service::on_closed(const frame_sink& /*connection*/, bool /*established*/) {}

} // namespace savorywheel
