#ifndef SAVORYWHEEL_DISTRIBUTION_LEASE_MANAGER_HPP
#define SAVORYWHEEL_DISTRIBUTION_LEASE_MANAGER_HPP

#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/core/random_source.hpp>
#include <savorywheel/distribution/lease_record.hpp>
#include <savorywheel/store/store_worker.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace savorywheel {

/**
 * @brief Acquires, renews and releases one lease in the object store.
 *
 * A lease of another holder has expired if its term has not grown for its lifetime on this node's
 * own clock, so clocks of different nodes are never compared. A holder that cannot renew drops the
 * lease before its lifetime ends.
 *
 * A store that was restored from a backup may have lost the lease of an active holder. For one
 * lifetime after the change of era was observed, nobody acquires the lease.
 * @warning Control thread only.
 */
class lease_manager {
public:
    /** @brief Called when this node acquires or loses the lease. */
    using change_callback = std::function<void(bool held)>;

    /** @brief Dependencies; all must outlive the manager. */
    struct environment {
        control_loop& loop;
        /** @brief Executes the store requests. */
        store_worker& store;
        /** @brief Source of the jitter between attempts. */
        random_source& random;
        /**
         * @brief True for a lease whose two holders would do harm.
         *
         * After a start, such a lease is not acquired before one lifetime has passed since the
         * first response of the store, whatever state the lease has: the store may have been
         * restored from a backup just before, and a holder that it no longer knows may be active.
         * A lease that this node held itself is acquired at once if the store was never restored.
         */
        bool exclusive{false};
    };

    /**
     * @param key Key of the lease object.
     * @param self Record that this node writes; the manager sets its term.
     */
    lease_manager(std::string key, lease_record self, environment env, change_callback changed);

    /** @brief Starts to compete for the lease; no effect if already started. */
    void start();

    /** @brief Stops competing; releases a held lease, so that no expiry delays the next holder. */
    void stop();

    /** @param note Handover data for the next holder; written with each renewal. */
    void set_note(std::string note) { self_.note = std::move(note); }

    /** @return True if this node holds the lease and it has not expired. */
    [[nodiscard]] bool held() const noexcept
    {
        return held_ && environment_.loop.time().now() < valid_until_;
    }

    /** @return The record last read from or written to the store, if any. */
    [[nodiscard]] const std::optional<lease_record>& observed() const noexcept { return observed_; }

    /** @return The last record read that was written by another holder or process, if any. */
    [[nodiscard]] const std::optional<lease_record>& predecessor() const noexcept
    {
        return predecessor_;
    }

private:
    void schedule(duration delay);
    void attempt();
    void on_read(const outcome<stored_object>& object, std::optional<std::uint64_t> era);
    /** Delays an acquisition in a new era; returns true if the era has changed. */
    bool observe_era(std::optional<std::uint64_t> era);
    [[nodiscard]] bool may_acquire() const noexcept
    {
        return environment_.loop.time().now() >= acquire_from_;
    }
    [[nodiscard]] bool is_own_earlier(const lease_record& present,
                                      std::optional<std::uint64_t> era) const;
    void acquire_or_renew(std::uint64_t term, std::optional<std::uint64_t> expected);
    void on_written(const outcome<std::uint64_t>& written, monotonic_time started,
                    lease_record record, std::optional<std::uint64_t> era);
    /** Writes a record with a lifetime of zero. */
    void release();
    /** Schedules the next attempt, with exponential backoff and jitter unless the lease is held. */
    void back_off();
    void set_held(bool held);
    void drop_if_expired();
    [[nodiscard]] duration renewal_period() const noexcept { return self_.lifetime / 3; }
    /** After a failed renewal; the lease must not expire because one call to the store failed. */
    [[nodiscard]] duration retry_period() const noexcept { return renewal_period() / 2; }

    std::string key_;
    lease_record self_;
    environment environment_;
    change_callback changed_;
    std::optional<lease_record> observed_;
    std::optional<lease_record> predecessor_;
    /** Store revision of this node's last write. */
    std::uint64_t revision_{};
    monotonic_time observed_at_;
    monotonic_time valid_until_;
    /** Era of the store in its last response to this manager, if any. */
    std::optional<std::uint64_t> era_;
    monotonic_time acquire_from_;
    bool held_{};
    bool running_{};
    unsigned consecutive_failures_{};
    subscription timer_;
};

} // namespace savorywheel

#endif
