#ifndef SAVORYWHEEL_TRANSPORT_BYTE_METER_HPP
#define SAVORYWHEEL_TRANSPORT_BYTE_METER_HPP

#include <savorywheel/transport/traffic_class.hpp>

#include <cstddef>
#include <string_view>

namespace savorywheel {

/** @brief Observer of messages between nodes; called on many threads, must not block. */
class byte_meter {
public:
    byte_meter() = default;
    byte_meter(const byte_meter&) = delete;
    byte_meter& operator=(const byte_meter&) = delete;
    byte_meter(byte_meter&&) = delete;
    byte_meter& operator=(byte_meter&&) = delete;
    virtual ~byte_meter() = default;

    /**
     * @brief Called after a message or a part of one was sent.
     * @param address IP address of the receiver.
     * @param bytes Bytes including the frame header, without IP, UDP and TCP headers.
     */
    virtual void on_sent(std::string_view address, traffic_class purpose, std::size_t bytes) = 0;

    /**
     * @brief Called after a message was received.
     * @param address IP address of the sender.
     * @param bytes Bytes including the frame header, without IP, UDP and TCP headers.
     */
    virtual void on_received(std::string_view address, traffic_class purpose,
                             std::size_t bytes) = 0;
};

} // namespace savorywheel

#endif
