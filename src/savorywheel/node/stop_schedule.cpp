#include <savorywheel/node/stop_schedule.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

/** Requests accepted during the notice need the rest of the grace time. */
constexpr int max_notice_divisor = 2;
/** Parts of the grace time for the last responses, and for the end of the process. */
constexpr int response_time_divisor = 20;
constexpr int exit_time_divisor = 20;
/** Time for the last responses without a grace time. */
constexpr std::chrono::milliseconds default_response_time{500};

} // namespace

stop_schedule make_stop_schedule(const node_settings& settings)
{
    if (!settings.stop_grace) {
        const auto interruption = settings.stop_notice + settings.stop_limit;
        return {settings.stop_notice, interruption, interruption + default_response_time};
    }
    const auto grace = *settings.stop_grace;
    const auto close = grace - grace / exit_time_divisor;
    return {std::min(settings.stop_notice, grace / max_notice_divisor),
            close - grace / response_time_divisor, close};
}

} // namespace savorywheel
