#ifndef SAVORYWHEEL_TRANSPORT_PROTOCOL_ERROR_LOGGER_HPP
#define SAVORYWHEEL_TRANSPORT_PROTOCOL_ERROR_LOGGER_HPP

#include <savorywheel/core/admission_limiter.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/transport/frame_handler.hpp>

#include <cstdint>
#include <map>
#include <mutex>

namespace savorywheel {

/** @brief Logs input from peers that breaks the protocol, at a bounded rate; thread-safe. */
class protocol_error_logger final : public frame_handler {
public:
    /**
     * @param time Clock; must outlive the reporter.
     * @param log Log; must outlive the reporter.
     */
    protocol_error_logger(const clock& time, event_log& log) noexcept;

    /** @brief Hears of a datagram that was not taken. */
    void on_rejected_datagram(const failure& reason);

    void on_frame(const std::shared_ptr<frame_sink>& source, frame_kind kind,
                  std::uint64_t correlation, std::span<const std::byte> payload) override;
    void on_closed(const frame_sink& source, bool established) override;
    void on_malformed(const failure& reason) override;

private:
    /** Each event has its own limit, so that a flood of one does not hide another. */
    struct rate_limited_event {
        admission_limiter limiter;
        std::uint64_t suppressed{};
    };

    void report(event_id id, const failure& reason);

    const clock& clock_;
    event_log& log_;
    std::mutex mutex_;
    std::map<event_id, rate_limited_event> events_;
};

} // namespace savorywheel

#endif
