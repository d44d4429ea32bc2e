#ifndef SAVORYWHEEL_NODE_RESTORE_MONITOR_HPP
#define SAVORYWHEEL_NODE_RESTORE_MONITOR_HPP

#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/distribution/operator_documents.hpp>
#include <savorywheel/distribution/order_codec.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/membership/member_table.hpp>
#include <savorywheel/store/store_worker.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace savorywheel {

/**
 * @brief Detects that the object store was restored from a backup, and writes again what it lost.
 *
 * The era is known from the store's responses and from the revisions of documents that peers have
 * read. Records of rollouts that the backup has in an older state are written by the first live
 * members of a ranking by service, one after the other; the write is conditional on the revision of
 * the order, so that at most one succeeds.
 * @warning Not thread-safe; call all members on the control thread.
 */
class restore_monitor {
public:
    /** @brief Dependencies; all must outlive the monitor. */
    struct environment {
        /** @brief Event loop of the control thread. */
        control_loop& loop;
        /** @brief Only asked for the era; makes no calls. */
        const object_store& store;
        /** @brief Runs blocking calls to the object store. */
        store_worker& worker;
        event_log& log;
        const order_codec& orders;
        node_id self;
        std::function<const member_table&()> members;
        std::function<const operator_documents&()> documents;
        /** @brief Called once for each change of era, so that entries are written again. */
        std::function<void()> restored;
    };

    /** @param env Dependencies. */
    explicit restore_monitor(environment env) : environment_{std::move(env)} {}

    /** @brief Starts the periodic check, which makes no calls while nothing is lost. */
    void start();

    void stop() { timer_.reset(); }

private:
    /** A record that is to be written again. */
    struct pending_record {
        std::uint64_t revision{};
        monotonic_time due;
    };

    void check();
    void check_era();
    void check_configuration();
    void check_records();
    void write(const rollout_order& order);
    /** @return Time after which this node writes the record of a service. */
    [[nodiscard]] duration write_delay(const service_name& service) const;

    environment environment_;
    std::optional<std::uint64_t> era_;
    bool configuration_reported_{};
    std::map<service_name, pending_record> pending_;
    subscription timer_;
};

} // namespace savorywheel

#endif
