#ifndef SAVORYWHEEL_HTTP_CALLER_LEDGER_HPP
#define SAVORYWHEEL_HTTP_CALLER_LEDGER_HPP

#include <savorywheel/http/caller_record.hpp>
#include <savorywheel/http/evictable_caller.hpp>
#include <savorywheel/http/eviction_policy.hpp>
#include <savorywheel/http/memory_need.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace savorywheel {

/**
 * @brief Memory that a server holds for each of its callers, within one limit.
 * @warning Not thread-safe, except for held().
 */
class caller_ledger {
public:
    /** @brief A caller makes progress when it has transferred this much, in bytes; fewer bytes at a
     * time keep a connection open, but do not protect it from eviction. */
    static constexpr std::size_t progress_bytes = 4UL * 1024UL;

    /** @param max_bytes Maximum memory for all callers, in bytes. */
    explicit caller_ledger(std::size_t max_bytes) noexcept;

    /**
     * @brief Adds a connection that holds nothing.
     * @param caller Must outlive its record.
     * @return Id of its record.
     */
    [[nodiscard]] std::uint64_t add(evictable_caller& caller, monotonic_time now);

    /** @brief Removes a connection; its memory is available again. */
    void remove(std::uint64_t id);

    /**
     * @brief Sets what a connection holds; closes others if it grows and the limit requires it.
     * @return False, without a change, if the limit does not allow it.
     */
    [[nodiscard]] bool hold(std::uint64_t id, std::size_t bytes, memory_need need,
                            monotonic_time now);

    /** @brief Closes a connection so that another one can be accepted; false if none may be. */
    [[nodiscard]] bool make_room(monotonic_time now);

    void set_phase(std::uint64_t id, caller_phase phase);

    /** @brief Bytes were transferred on a connection. */
    void on_transferred(std::uint64_t id, std::size_t bytes, monotonic_time now);

    /** @brief A whole request or response was transferred on a connection. */
    void on_completed(std::uint64_t id, monotonic_time now);

    /** @return Memory held for all callers, in bytes; thread-safe. */
    [[nodiscard]] std::size_t held() const noexcept { return held_; }

private:
    struct slot {
        evictable_caller* caller{};
        std::size_t transferred{};
    };

    [[nodiscard]] std::size_t index_of(std::uint64_t id) const;
    void evict(std::uint64_t id);

    eviction_policy policy_;
    /** In the order of the ids. */
    std::vector<caller_record> records_;
    /** One for each record. */
    std::vector<slot> slots_;
    std::uint64_t next_id_{};
    std::atomic<std::size_t> held_{};
};

} // namespace savorywheel

#endif
