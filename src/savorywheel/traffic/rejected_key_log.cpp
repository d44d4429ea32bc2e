#include <savorywheel/traffic/rejected_key_log.hpp>

#include <array>
#include <string>
#include <utility>

namespace savorywheel {

namespace {

/** Time between two lines; a caller with a removed key may send thousands of requests per second.
 */
constexpr std::chrono::seconds line_interval{1};

} // namespace

rejected_key_log::rejected_key_log(event_log& log, const clock& time) noexcept
    : log_{log}, limiter_{time, 1, line_interval}
{
}

void rejected_key_log::write(const call_context& context, const rejection& cause)
{
    ++since_last_line_;
    if (!limiter_.admit()) {
        return;
    }
    const std::array fields{
        log_field{"route", context.route == nullptr ? std::string{} : context.route->path},
        log_field{"service", context.call.service.str()},
        log_field{"rejected", std::to_string(std::exchange(since_last_line_, 0))}};
    log_.write_decision(event_id::api_key_rejected, cause.reason, fields);
}

} // namespace savorywheel
