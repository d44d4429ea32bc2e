#include <savorywheel/node/restore_monitor.hpp>
#include <savorywheel/store/store_revision.hpp>

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

/** Reads only local state. Entries are missing from the store for as long. */
constexpr std::chrono::milliseconds check_period{500};
/** Longer than a watch takes to deliver the write of the member that ranks before. */
constexpr std::chrono::milliseconds delay_per_rank{1500};
/** Members of higher ranks write only if none of the first ones could reach the store. */
constexpr std::size_t max_rank = 8;

std::uint64_t rank_digest(const service_name& service, const node_id& node)
{
    const auto& name = node.str();
    return XXH3_64bits_withSeed(name.data(), name.size(),
                                XXH3_64bits(service.str().data(), service.str().size()));
}

} // namespace

void restore_monitor::start()
{
    timer_ = environment_.loop.timers().every(check_period, [this] { check(); });
}

void restore_monitor::check()
{
    check_era();
    check_configuration();
    check_records();
}

void restore_monitor::check_era()
{
    auto era = environment_.store.era();
    if (const auto seen = store_revision::of(environment_.documents().revision).era; seen > 0) {
        // A peer has read the documents from the restored store.
        era = std::max(era.value_or(0), seen);
    }
    if (!era || era_ == era) {
        return;
    }
    if (era_) {
        environment_.log.write(event_id::store_restored,
                               fmt::format("era {} after era {}", *era, *era_));
        environment_.restored();
    }
    era_ = era;
}

void restore_monitor::check_configuration()
{
    const auto& documents = environment_.documents();
    const bool unwritten = documents.unwritten_configuration;
    if (unwritten && !configuration_reported_) {
        environment_.log.write(event_id::older_configuration_kept,
                               fmt::format("version {}", documents.configuration.version.number));
    }
    configuration_reported_ = unwritten;
}

void restore_monitor::check_records()
{
    const auto& documents = environment_.documents();
    const auto now = environment_.loop.time().now();
    std::erase_if(pending_, [&documents](const auto& item) {
        return !documents.unwritten_records.contains(item.first);
    });
    for (const auto& service : documents.unwritten_records) {
        const auto* order = documents.find_order(service);
        if (order == nullptr || !order->record) {
            continue;
        }
        auto& pending = pending_[service];
        if (pending.revision != order->revision) {
            pending = {order->revision, now + write_delay(service)};
            environment_.log.write(event_id::rollout_record_kept, service.str());
        }
        else if (now >= pending.due) {
            pending.due = now + write_delay(service) + max_rank * delay_per_rank;
            write(*order);
        }
    }
}

void restore_monitor::write(const rollout_order& order)
{
    const auto key = environment_.orders.status_key(order.service);
    const auto status = environment_.orders.encode_status(order, order.record->move.status);
    environment_.worker.submit([&log = environment_.log, key, status, service = order.service,
                                revision = order.revision](object_store& store) {
        // After a conflict, the watch delivers the order that another writer has left.
        if (store.update(key, status, revision)) {
            log.write(event_id::rollout_record_rewritten, service.str());
        }
    });
}

duration restore_monitor::write_delay(const service_name& service) const
{
    const auto own = rank_digest(service, environment_.self);
    const auto live = environment_.members().live();
    const auto before = std::ranges::count_if(live, [&](const member_table::entry* item) {
        return rank_digest(service, item->update.record.id) < own;
    });
    return std::min(static_cast<std::size_t>(before), max_rank) * delay_per_rank;
}

} // namespace savorywheel
