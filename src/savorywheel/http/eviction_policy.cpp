#include <savorywheel/http/eviction_policy.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

/** Part of the memory that is for small callers and responses: one in this many. */
constexpr std::size_t reserve_divisor = 4;

bool is_entitled(std::size_t held, memory_need need)
{
    return held <= eviction_policy::small_bytes || need == memory_need::response;
}

bool is_transfer(const caller_record& caller)
{
    return caller.phase == caller_phase::receiving || caller.phase == caller_phase::sending;
}

bool is_stalled(const caller_record& caller, monotonic_time now)
{
    return now - caller.progressed >= eviction_policy::stall_limit;
}

/** @return The caller without progress for longest of those that fulfil the condition. */
template<typename Condition>
std::optional<std::uint64_t> longest_without_progress(std::span<const caller_record> callers,
                                                      Condition condition)
{
    const caller_record* found = nullptr;
    for (const auto& caller : callers) {
        if (condition(caller) && (found == nullptr || caller.progressed < found->progressed)) {
            found = &caller;
        }
    }
    return found == nullptr ? std::nullopt : std::optional{found->id};
}

} // namespace

std::size_t eviction_policy::limit_for(std::size_t held, memory_need need) const noexcept
{
    return is_entitled(held, need) ? max_bytes_ : max_bytes_ - max_bytes_ / reserve_divisor;
}

std::optional<std::uint64_t>
eviction_policy::choose_for_memory(std::span<const caller_record> callers, std::uint64_t requester,
                                   std::size_t held, memory_need need, std::size_t missing,
                                   monotonic_time now) const
{
    const bool entitled = is_entitled(held, need);
    const auto may_close = [&](const caller_record& caller) {
        return caller.id != requester && is_transfer(caller) &&
               (entitled || is_stalled(caller, now));
    };
    std::size_t available{};
    for (const auto& caller : callers) {
        available += may_close(caller) ? caller.held : 0;
    }
    if (held > limit_for(held, need) || available < missing) {
        return std::nullopt;
    }
    const auto large = longest_without_progress(callers, [&](const caller_record& caller) {
        return may_close(caller) && caller.held > small_bytes;
    });
    return large ? large : longest_without_progress(callers, may_close);
}

std::optional<std::uint64_t>
eviction_policy::choose_for_connection(std::span<const caller_record> callers, monotonic_time now)
{
    const auto stalled = longest_without_progress(callers, [now](const caller_record& caller) {
        return is_transfer(caller) && is_stalled(caller, now);
    });
    if (stalled) {
        return stalled;
    }
    const auto idle = longest_without_progress(callers, [now](const caller_record& caller) {
        return caller.phase == caller_phase::idle && is_stalled(caller, now);
    });
    return idle ? idle : longest_without_progress(callers, is_transfer);
}

} // namespace savorywheel
