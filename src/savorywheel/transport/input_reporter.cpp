#include <savorywheel/transport/input_reporter.hpp>

#include <fmt/format.h>

#include <utility>

namespace savorywheel {

namespace {

constexpr unsigned report_burst = 10;
constexpr std::chrono::milliseconds report_interval{1000};

} // namespace

input_reporter::input_reporter(const clock& time, event_log& log) noexcept : clock_{time}, log_{log}
{
}

void input_reporter::on_bad_datagram(const failure& reason)
{
    report(reason.code == failure_code::overload ? event_id::peer_input_dropped
                                                 : event_id::datagram_malformed,
           reason);
}

void input_reporter::on_frame(const std::shared_ptr<frame_sink>& /*source*/, frame_kind /*kind*/,
                              std::uint64_t /*correlation*/, std::span<const std::byte> /*payload*/)
{
}

void input_reporter::on_closed(const frame_sink& /*source*/, bool /*established*/) {}

void input_reporter::on_malformed(const failure& reason)
{
    report(event_id::stream_malformed, reason);
}

void input_reporter::report(event_id id, const failure& reason)
{
    const std::scoped_lock lock{mutex_};
    auto& known =
        tallies_.try_emplace(id, tally{{clock_, report_burst, report_interval}, 0}).first->second;
    if (!known.limiter.admit()) {
        ++known.unreported;
        return;
    }
    log_.write(id, fmt::format("{} ({} similar events suppressed since the last report)",
                               reason.message, std::exchange(known.unreported, 0)));
}

} // namespace savorywheel
