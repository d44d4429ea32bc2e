#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/node/member_directory.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

constexpr std::string_view directory_prefix = "nodes/";
/** Back-off between searches; each search costs a call to the object store. */
constexpr std::chrono::milliseconds min_delay{500};
constexpr std::chrono::milliseconds max_delay{4000};

std::string key_of(const node_id& node)
{
    return fmt::format("{}{}", directory_prefix, node.str());
}

/** Replaces the entry of an earlier start of the node, since its endpoint may differ. */
outcome<bool> register_node(object_store& store, const member_record& self)
{
    const auto key = key_of(self.id);
    const auto value = encode_json(self);
    const auto created = store.create(key, value);
    if (created) {
        return true;
    }
    if (created.reason().code != failure_code::conflict) {
        return created.reason();
    }
    const auto known = store.get(key);
    if (!known) {
        return known.reason();
    }
    if (const auto replaced = store.update(key, value, known->revision); !replaced) {
        return replaced.reason();
    }
    return true;
}

/** Removes the entry of a node; a missing entry is not an error. */
outcome<bool> unregister_node(object_store& store, const node_id& self)
{
    const auto key = key_of(self);
    const auto known = store.get(key);
    if (!known) {
        return known.reason().code == failure_code::not_found ? outcome<bool>{false}
                                                              : outcome<bool>{known.reason()};
    }
    if (const auto removed = store.remove(key, known->revision); !removed) {
        return removed.reason();
    }
    return true;
}

} // namespace

member_directory::member_directory(member_record self, environment env)
    : self_{std::move(self)}, environment_{std::move(env)}, delay_{min_delay}
{
}

void member_directory::result::add_entries(std::span<const stored_object> objects,
                                           const node_id& self)
{
    for (const auto& object : objects) {
        const auto record = decode_json<member_record>(object.value);
        if (!record) {
            unreadable.push_back(fmt::format("{}: {}", object.key, record.reason().message));
        }
        else if (!is_usable(record->peer)) {
            unreadable.push_back(fmt::format("{}: unusable endpoint", object.key));
        }
        else if (record->id != self) {
            peers.push_back(record->peer);
        }
    }
}

void member_directory::start()
{
    search();
}

void member_directory::on_store_restored()
{
    if (stopped_) {
        return;
    }
    registered_ = false;
    delay_ = min_delay;
    search();
}

void member_directory::stop()
{
    stopped_ = true;
    timer_.reset();
    environment_.worker.submit([&log = environment_.log, self = self_.id](object_store& store) {
        if (const auto removed = unregister_node(store, self); !removed) {
            log.write(event_id::directory_unreachable, removed.reason().message);
        }
    });
}

void member_directory::search()
{
    environment_.worker.submit([this, self = self_, known = registered_](object_store& store) {
        result outcome;
        const auto registered =
            known ? savorywheel::outcome<bool>{true} : register_node(store, self);
        outcome.registered = static_cast<bool>(registered);
        outcome.reason = registered.reason();
        if (const auto list = store.list(directory_prefix, {})) {
            outcome.add_entries(list->objects, self.id);
        }
        else {
            outcome.reason = list.reason();
        }
        environment_.loop.post([this, item = std::move(outcome)] { on_search_result(item); });
    });
}

void member_directory::on_search_result(const result& outcome)
{
    registered_ = outcome.registered;
    if (outcome.reason.code != failure_code::none) {
        environment_.log.write(event_id::directory_unreachable, outcome.reason.message);
    }
    for (const auto& entry : outcome.unreadable) {
        environment_.log.write(event_id::directory_entry_unreadable, entry);
    }
    environment_.found(outcome.peers);
    schedule_search();
}

void member_directory::schedule_search()
{
    delay_ = std::min(delay_ * 2, max_delay);
    const auto jitter = environment_.random.below(static_cast<std::uint64_t>(delay_.count()) / 2);
    timer_ =
        environment_.loop.timers().after(delay_ / 2 + std::chrono::milliseconds{jitter}, [this] {
            if (registered_ && environment_.connected()) {
                return;
            }
            search();
        });
}

} // namespace savorywheel
