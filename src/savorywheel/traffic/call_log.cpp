#include <savorywheel/traffic/call_log.hpp>

#include <fmt/format.h>
#include <xxhash.h>

#include <utility>

namespace savorywheel {

namespace {

/** Logs one call in 64; at 60 calls/s a node writes about one line per second. */
constexpr std::uint64_t sample_divisor = 64;
/** Rate limit of lines about failures: a burst of 100, then 20 per second. */
constexpr unsigned line_burst = 100;
constexpr std::chrono::milliseconds line_interval{50};

} // namespace

call_log::call_log(event_log& log, const clock& time) noexcept
    : log_{log}, limiter_{time, line_burst, line_interval}
{
}

bool call_log::is_sampled(std::string_view request_id) noexcept
{
    return !request_id.empty() &&
           XXH3_64bits(request_id.data(), request_id.size()) % sample_divisor == 0;
}

void call_log::write(event_id id, std::string_view detail, const field_factory& fields)
{
    std::uint64_t dropped{};
    {
        const std::scoped_lock lock{mutex_};
        if (!limiter_.admit()) {
            ++dropped_;
            return;
        }
        dropped = std::exchange(dropped_, 0);
    }
    if (dropped > 0) {
        log_.write(event_id::call_log_lines_dropped, fmt::format("{} lines", dropped));
    }
    log_.write_decision(id, detail, fields());
}

void call_log::write_sampled(event_id id, std::string_view request_id, std::string_view detail,
                             const field_factory& fields)
{
    if (is_sampled(request_id)) {
        log_.write_decision(id, detail, fields());
    }
}

std::string format_milliseconds(duration length)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(length).count());
}

} // namespace savorywheel
