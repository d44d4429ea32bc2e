#ifndef SAVORYWHEEL_HTTP_EVICTION_POLICY_HPP
#define SAVORYWHEEL_HTTP_EVICTION_POLICY_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/http/caller_record.hpp>
#include <savorywheel/http/memory_need.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace savorywheel {

/**
 * @brief Decides which caller's connection is closed for another one, and which memory a caller may
 * use.
 *
 * A connection that waits for the handler is never closed: its request runs. Of the others, the one
 * without progress for longest is closed.
 */
class eviction_policy {
public:
    /** @brief A caller that needs no more than this is ordinary, in bytes: a header of the largest
     * configured size with the buffers to read it. */
    static constexpr std::size_t small_bytes = 64UL * 1024UL;
    /** @brief Time without progress after which a connection counts as stalled: several times the
     * latency between regions, so that no live transfer is closed for a request that may be refused
     * instead. */
    static constexpr std::chrono::milliseconds stall_limit{1000};

    /** @param max_bytes Maximum memory for all callers, in bytes. */
    explicit eviction_policy(std::size_t max_bytes) noexcept : max_bytes_{max_bytes} {}

    /**
     * @brief A part of the memory is for small callers and responses only, so that large bodies
     * never take what ordinary requests need.
     * @param held What the caller would hold, in bytes.
     * @return Maximum for all callers together, in bytes.
     */
    [[nodiscard]] std::size_t limit_for(std::size_t held, memory_need need) const noexcept;

    /**
     * @brief Chooses a connection to close so that another caller gets memory.
     * @param callers All callers.
     * @param requester The caller that needs memory; never chosen.
     * @param held What the requester would hold, in bytes.
     * @param missing Bytes that must become free.
     * @return Id of the connection; std::nullopt if closing all that may be closed frees too few
     * bytes: the requester is refused.
     */
    [[nodiscard]] std::optional<std::uint64_t>
    choose_for_memory(std::span<const caller_record> callers, std::uint64_t requester,
                      std::size_t held, memory_need need, std::size_t missing,
                      monotonic_time now) const;

    /**
     * @brief Chooses a connection to close so that a new one can be accepted.
     *
     * Stalled transfers go first, then connections idle for longer than the stall limit, then any
     * transfer.
     * @return Id of the connection; std::nullopt if all wait for the handler or were just used.
     */
    [[nodiscard]] static std::optional<std::uint64_t>
    choose_for_connection(std::span<const caller_record> callers, monotonic_time now);

private:
    std::size_t max_bytes_;
};

} // namespace savorywheel

#endif
