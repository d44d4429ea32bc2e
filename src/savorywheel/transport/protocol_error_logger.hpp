#ifndef SAVORYWHEEL_TRANSPORT_PROTOCOL_ERROR_LOGGER_HPP
#define SAVORYWHEEL_TRANSPORT_PROTOCOL_ERROR_LOGGER_HPP

#include <savorywheel/core/admission_limiter.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/transport/frame_handler.hpp>

#include <cstdint>
#include <map>
#include <mutex>

namespace savorywheel {

/** @brief Logs protocol errors of peers at a bounded rate; thread-safe. */
class protocol_error_logger final : public frame_handler {
public:
    /**
     * @param time Must outlive the logger.
     * @param log Must outlive the logger.
     */
    protocol_error_logger(const clock& time, event_log& log) noexcept;

    /** @brief Logs a datagram that is malformed or was dropped because of overload. */
    void on_rejected_datagram(const failure& reason);

    void on_frame(const std::shared_ptr<frame_sink>& connection, frame_kind kind,
                  std::uint64_t correlation, std::span<const std::byte> payload) override;
    void on_closed(const frame_sink& connection, bool established) override;
    void on_malformed(const failure& reason) override;

private:
    /** Events are limited separately, so that a flood of one does not suppress another. */
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
