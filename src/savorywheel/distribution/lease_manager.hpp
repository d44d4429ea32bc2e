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
 * @brief Holds, renews or waits for one lease in the platform's service.
 *
 * A lease of another holder counts as lapsed when its term has not grown for its lifetime on this
 * node's own clock, so that clocks of different nodes are never compared. A holder that cannot
 * renew gives the lease up before its lifetime ends.
 * @warning All members are for the control thread.
 */
class lease_manager {
public:
    /** @brief Hears that this node now holds the lease, or no longer does. */
    using change_callback = std::function<void(bool held)>;

    /** @brief What the keeper works with; all must outlive it. */
    struct environment {
        /** @brief Control thread's events and timers. */
        control_loop& loop;
        /** @brief Thread for the platform's service. */
        store_worker& store;
        /** @brief Spreads attempts. */
        random_source& random;
    };

    /**
     * @param key Key of the lease object.
     * @param self Record that this node writes; its term is set here.
     * @param env What the keeper works with.
     * @param changed Hears of changes.
     */
    lease_manager(std::string key, lease_record self, environment env, change_callback changed);

    /** @brief Starts to compete for the lease. */
    void start();

    /** @brief Stops to compete; a held lease is released, so that the next holder need not wait. */
    void stop();

    /** @param note What the next holder gets to read; written with each renewal. */
    void set_note(std::string note) { self_.note = std::move(note); }

    /** @return True if this node holds the lease and it has not lapsed. */
    [[nodiscard]] bool held() const noexcept
    {
        return held_ && environment_.loop.time().now() < valid_until_;
    }

    /** @return The holder that was last seen, if any. */
    [[nodiscard]] const std::optional<lease_record>& observed() const noexcept { return observed_; }

    /** @return The record that was last read and that this process has not written, if any. */
    [[nodiscard]] const std::optional<lease_record>& predecessor() const noexcept
    {
        return predecessor_;
    }

private:
    void schedule(duration delay);
    void attempt();
    void on_read(const outcome<stored_object>& object);
    void acquire_or_renew(std::uint64_t term, std::optional<std::uint64_t> expected);
    void on_written(const outcome<std::uint64_t>& written, monotonic_time started,
                    lease_record record);
    /** Writes that the lease has lapsed. */
    void release();
    /** Waits longer after each read that the store did not answer, with jitter. */
    void back_off();
    void set_held(bool held);
    void drop_if_expired();
    [[nodiscard]] duration renewal_period() const noexcept { return self_.lifetime / 3; }

    std::string key_;
    lease_record self_;
    environment environment_;
    change_callback changed_;
    std::optional<lease_record> observed_;
    std::optional<lease_record> predecessor_;
    /** Revision of this node's last write. */
    std::uint64_t revision_{};
    monotonic_time observed_at_;
    monotonic_time valid_until_;
    bool held_{};
    bool running_{};
    unsigned consecutive_failures_{};
    subscription timer_;
};

} // namespace savorywheel

#endif
