#include <savorywheel/transport/protocol_error_logger.hpp>

#include <fmt/format.h>

#include <utility>

namespace savorywheel {

namespace {

constexpr unsigned report_burst = 10;
constexpr std::chrono::milliseconds report_interval{1000};

} // namespace

protocol_error_logger::protocol_error_logger(const clock& time, event_log& log) noexcept
    : clock_{time}, log_{log}
{
}

void protocol_error_logger::on_rejected_datagram(const failure& reason)
{
    report(reason.code == failure_code::overload ? event_id::peer_input_dropped
                                                 : event_id::datagram_malformed,
           reason);
}

void protocol_error_logger::on_frame(const std::shared_ptr<frame_sink>& /*connection*/,
                                     frame_kind /*kind*/, std::uint64_t /*correlation*/,
                                     std::span<const std::byte> /*payload*/)
{
}

void protocol_error_logger::on_closed(const frame_sink& /*connection*/, bool /*established*/) {}

void protocol_error_logger::on_malformed(const failure& reason)
{
    report(event_id::stream_malformed, reason);
}

void protocol_error_logger::report(event_id id, const failure& reason)
{
    const std::scoped_lock lock{mutex_};
    auto& event =
        events_.try_emplace(id, rate_limited_event{{clock_, report_burst, report_interval}, 0})
            .first->second;
    if (!event.limiter.admit()) {
        ++event.suppressed;
        return;
    }
    log_.write(id, fmt::format("{} ({} similar events suppressed since the last report)",
                               reason.message, std::exchange(event.suppressed, 0)));
}

} // namespace savorywheel
