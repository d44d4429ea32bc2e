#ifndef SAVORYWHEEL_TRANSPORT_BYTE_METER_HPP
#define SAVORYWHEEL_TRANSPORT_BYTE_METER_HPP

#include <savorywheel/transport/traffic_class.hpp>

#include <cstddef>
#include <string_view>

namespace savorywheel {

/** @brief Hears of every message between nodes; called on many threads, must not wait. */
class byte_meter {
public:
    byte_meter() = default;
    byte_meter(const byte_meter&) = delete;
    byte_meter& operator=(const byte_meter&) = delete;
    byte_meter(byte_meter&&) = delete;
    byte_meter& operator=(byte_meter&&) = delete;
    virtual ~byte_meter() = default;

    /**
     * @brief Hears that a message was sent.
     * @param address IP number of the receiver.
     * @param purpose Purpose of the message.
     * @param bytes Size with the frame header, without those of IP, UDP and TCP.
     */
    virtual void on_sent(std::string_view address, traffic_class purpose, std::size_t bytes) = 0;

    /**
     * @brief Hears that a message was received.
     * @param address IP number of the sender.
     * @param purpose Purpose of the message.
     * @param bytes Size with the frame header, without those of IP, UDP and TCP.
     */
    virtual void on_received(std::string_view address, traffic_class purpose,
                             std::size_t bytes) = 0;
};

} // namespace savorywheel

#endif
