#include <savorywheel/node/caller_limit_publisher.hpp>
#include <savorywheel/routing/routing_table.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

/** Callers may go by a configuration that is not in force here yet, which takes 4 s at most;
 * another second covers a request in transit. */
constexpr std::chrono::seconds idle_margin{5};
/** Longest idle timeout; keeps the sum with the margin in the range of the HTTP library. */
constexpr std::chrono::milliseconds max_idle_timeout = std::chrono::hours{24};

std::chrono::seconds idle_timeout_of(const caller_limits& limits, std::chrono::seconds by_default)
{
    if (!limits.idle_timeout) {
        return by_default;
    }
    // The server's timeout also applies while a caller sends the header of a request.
    const auto allowed =
        std::max(*limits.idle_timeout, limits.header_timeout.value_or(*limits.idle_timeout));
    return std::chrono::ceil<std::chrono::seconds>(
               std::clamp(allowed, std::chrono::milliseconds::zero(), max_idle_timeout)) +
           idle_margin;
}

std::chrono::milliseconds header_timeout_of(const caller_limits& limits,
                                            std::chrono::milliseconds by_default)
{
    if (!limits.header_timeout) {
        return by_default;
    }
    return std::clamp(*limits.header_timeout, std::chrono::milliseconds::zero(), max_idle_timeout) +
           idle_margin;
}

} // namespace

void caller_limit_publisher::on_table(const routing_table& table)
{
    const auto& limits = table.limits();
    if (limits == applied_) {
        return;
    }
    applied_ = limits;
    server_.set_caller_limits(limits.max_body_bytes.value_or(defaults_.max_body_bytes),
                              idle_timeout_of(limits, defaults_.idle_timeout),
                              header_timeout_of(limits, defaults_.header_timeout));
}

} // namespace savorywheel
