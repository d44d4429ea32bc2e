#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/node/confirmation_service.hpp>
#include <savorywheel/node/datagram_input.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace savorywheel {

namespace {

using std::chrono::milliseconds;

/** After this time without a confirmation, changes may be late; the strictest bound of a change. */
constexpr milliseconds reported_age{2500};
/**
 * A confirmation that is newer than the last one by less than this is not passed on, so that many
 * checks at the same time do not cost as many messages to every node. Half of a period.
 */
constexpr milliseconds min_confirmation_gap{400};
/**
 * Time between the announcements of two watchers that hear the same change. Longer than a hop
 * between regions, so that the first one spares the others theirs.
 */
constexpr milliseconds announcement_step{60};
/** Older messages are not passed on. */
constexpr std::uint32_t max_message_age_ms = 5000;
/** More identifiers than the messages that arrive within max_message_age_ms along a tree. */
constexpr std::size_t remembered_ids = 64;

milliseconds to_milliseconds(duration length)
{
    return std::chrono::duration_cast<milliseconds>(length);
}

} // namespace

confirmation_service::confirmation_service(environment env)
    : environment_{env}, schedule_{env.members.self().id, env.random, env.loop.time().now()},
      key_schedule_{env.keys, env.loop.time()}, check_{env.documents.prefixes(),
                                                       check_environment()}
{
}

store_check::environment confirmation_service::check_environment()
{
    return {environment_.store, environment_.loop.time(), environment_.log,
            [this](std::string_view prefix, std::vector<stored_object> objects) {
                environment_.documents.post_objects(prefix, std::move(objects));
            },
            [this](const outcome<store_check_result>& result) {
                environment_.loop.post([this, result] { on_checked(result); });
            }};
}

void confirmation_service::start()
{
    running_ = true;
    schedule();
}

void confirmation_service::stop()
{
    running_ = false;
    timer_.reset();
    announcement_timer_.reset();
}

void confirmation_service::on_members_changed()
{
    if (!std::exchange(members_changed_, true) && running_ && !checking_) {
        schedule();
    }
}

void confirmation_service::refresh_members()
{
    if (!std::exchange(members_changed_, false)) {
        return;
    }
    regions_.clear();
    candidates_.clear();
    const auto& self = environment_.members.self();
    for (const auto& [id, entry] : environment_.members.table().entries()) {
        const auto& record = entry.update.record;
        if (entry.update.status == member_status::dead && id != self.id) {
            continue;
        }
        if (record.store_reachable || id == self.id) {
            candidates_.push_back(id);
        }
        auto region = std::ranges::find(regions_, record.region, &spread_region::name);
        if (region == regions_.end()) {
            region = regions_.insert(region, spread_region{record.region, {}});
        }
        region->members.push_back(id);
    }
}

void confirmation_service::schedule()
{
    refresh_members();
    const auto now = environment_.loop.time().now();
    const auto delay = std::max(schedule_.next_check(candidates_) - now, duration::zero());
    timer_ = environment_.loop.timers().after(std::min(delay, key_schedule_.delay()),
                                              [this] { check_if_due(); });
}

void confirmation_service::check_if_due()
{
    if (schedule_.next_check(candidates_) <= environment_.loop.time().now()) {
        check();
    }
    else if (key_schedule_.delay() == duration::zero()) {
        check_keys();
    }
    else {
        // A peer has proven a later time to this node meanwhile.
        log_keys();
        schedule();
    }
}

void confirmation_service::check_now()
{
    if (running_) {
        check();
    }
}

void confirmation_service::check()
{
    if (checking_) {
        return;
    }
    log_age();
    log_keys();
    key_schedule_.record_check();
    checking_ = true;
    timer_.reset();
    check_.start(known_revision());
}

void confirmation_service::check_keys()
{
    log_keys();
    key_schedule_.record_check();
    checking_ = true;
    checking_keys_ = true;
    timer_.reset();
    check_.start_first(known_revision());
}

std::optional<std::uint64_t> confirmation_service::known_revision() const
{
    const bool complete =
        confirmation_ && !environment_.documents.documents().lacks_any_of(confirmation_->head);
    return complete ? std::optional{confirmation_->revision} : std::nullopt;
}

void confirmation_service::on_checked(const outcome<store_check_result>& result)
{
    if (!running_) {
        return;
    }
    checking_ = false;
    const bool keys_only = std::exchange(checking_keys_, false);
    environment_.documents.on_store_health(result ? outcome<bool>{true}
                                                  : outcome<bool>{result.reason()});
    if (!result) {
        schedule_.record_failure(environment_.loop.time().now());
        schedule();
        return;
    }
    // The objects of the check were applied before, so that their routing table is published.
    environment_.members.prove(result->as_of_since_boot);
    log_keys();
    if (keys_only) {
        schedule();
        return;
    }
    const auto& self = environment_.members.self();
    const store_confirmation confirmation{
        environment_.random.below(std::numeric_limits<std::uint64_t>::max()), self.id,
        result->as_of, result->revision, environment_.documents.documents().head()};
    const bool redundant = is_redundant(confirmation);
    record(confirmation);
    if (!redundant) {
        spread(confirmation);
    }
    schedule();
}

void confirmation_service::spread(const store_confirmation& confirmation)
{
    auto message = make_message(confirmation.head);
    message.id = confirmation.id;
    message.revision = confirmation.revision;
    for (const auto tree : {spread_tree::first, spread_tree::second}) {
        message.tree = tree;
        const auto age = environment_.loop.time().now() - confirmation.as_of;
        message.age_ms = static_cast<std::uint32_t>(to_milliseconds(age).count());
        pass_on(message);
    }
}

confirmation_message confirmation_service::make_message(const configuration_head& head) const
{
    const auto& self = environment_.members.self();
    confirmation_message message;
    message.origin = {self.id, self.region};
    message.origin_peer = self.peer;
    message.head = head;
    return message;
}

void confirmation_service::announce()
{
    if (!running_ || choice_.role != watch_role::watcher) {
        return;
    }
    const auto delay = announcement_step * static_cast<std::int64_t>(choice_.rank);
    announcement_timer_ =
        environment_.loop.timers().after(delay, [this] { spread_announcement(); });
}

void confirmation_service::spread_announcement()
{
    const auto head = environment_.documents.documents().head();
    if (announcements_.knows(head) || (confirmation_ && confirmation_->head == head)) {
        return;
    }
    auto message = make_message(head);
    message.purpose = confirmation_purpose::announce;
    message.id = environment_.random.below(std::numeric_limits<std::uint64_t>::max());
    static_cast<void>(announcements_.admit(message));
    for (const auto tree : {spread_tree::first, spread_tree::second}) {
        message.tree = tree;
        pass_on(message);
    }
}

void confirmation_service::receive_announcement(const confirmation_message& message)
{
    environment_.documents.on_head_received(message.sender_peer, message.head, head_route::tree);
    environment_.documents.on_head_received(message.origin_peer, message.head, head_route::tree);
    if (announcements_.admit(message)) {
        pass_on(message);
    }
}

bool confirmation_service::is_first(const confirmation_message& message)
{
    auto& known = received_.at(static_cast<std::size_t>(message.tree));
    if (std::ranges::find(known, message.id) != known.end()) {
        return false;
    }
    known.push_back(message.id);
    if (known.size() > remembered_ids) {
        known.pop_front();
    }
    return true;
}

bool confirmation_service::is_redundant(const store_confirmation& confirmation) const
{
    return confirmation_ && confirmation_->id != confirmation.id &&
           confirmation_->head == confirmation.head &&
           confirmation.as_of < confirmation_->as_of + min_confirmation_gap;
}

outcome<bool> confirmation_service::on_datagram(std::span<const std::byte> payload)
{
    return post_datagram<confirmation_message>(
        environment_.quota, payload,
        [this](const confirmation_message& message) { receive(message); });
}

void confirmation_service::receive(const confirmation_message& message)
{
    if (!running_ || message.age_ms > max_message_age_ms ||
        message.origin.node == environment_.members.self().id || !is_first(message)) {
        return;
    }
    if (message.purpose == confirmation_purpose::announce) {
        receive_announcement(message);
        return;
    }
    const auto as_of = environment_.loop.time().now() - milliseconds{message.age_ms};
    const store_confirmation confirmation{message.id, message.origin.node, as_of, message.revision,
                                          message.head};
    const bool redundant = is_redundant(confirmation);
    record(confirmation);
    environment_.documents.on_head_received(message.sender_peer, message.head, head_route::tree);
    environment_.documents.on_head_received(message.origin_peer, message.head, head_route::tree);
    if (!redundant) {
        pass_on(message);
    }
    if (key_schedule_.needs_proof()) {
        environment_.members.request_proof(message.sender_peer);
    }
    if (!checking_) {
        schedule();
    }
}

void confirmation_service::record(const store_confirmation& confirmation)
{
    if (!schedule_.record(confirmation.origin, confirmation.as_of)) {
        return;
    }
    confirmation_ = confirmation;
    log_age();
}

void confirmation_service::log_age()
{
    const auto age = environment_.loop.time().now() - schedule_.confirmed_as_of();
    const bool late = age > reported_age;
    if (std::exchange(unconfirmed_, late) != late) {
        environment_.log.write(late ? event_id::documents_unconfirmed
                                    : event_id::documents_confirmed,
                               fmt::format("{} ms", to_milliseconds(age).count()));
    }
}

void confirmation_service::log_keys()
{
    const auto& time = environment_.loop.time();
    const bool refused = !environment_.keys.allows(time);
    if (std::exchange(keys_unconfirmed_, refused) != refused) {
        const auto age = environment_.keys.age(time);
        environment_.log.write(refused ? event_id::keys_unconfirmed : event_id::keys_confirmed,
                               age == duration::max()
                                   ? std::string{"never confirmed"}
                                   : fmt::format("{} ms", to_milliseconds(age).count()));
    }
}

void confirmation_service::pass_on(confirmation_message message)
{
    refresh_members();
    const auto& self = environment_.members.self();
    message.sender_peer = self.peer;
    const auto payload = encode(message);
    for (const auto& child :
         spread_children(message.tree, message.origin, {self.id, self.region}, regions_)) {
        if (const auto* member = environment_.members.table().find(child)) {
            environment_.datagrams.send(member->update.record.peer, payload);
        }
    }
}

} // namespace savorywheel
