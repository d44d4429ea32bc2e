#ifndef SAVORYWHEEL_TRANSPORT_NULL_BYTE_METER_HPP
#define SAVORYWHEEL_TRANSPORT_NULL_BYTE_METER_HPP

#include <savorywheel/transport/byte_meter.hpp>

namespace savorywheel {

/** @brief Counts nothing. */
class null_byte_meter final : public byte_meter {
public:
    /** @return The meter of transports that nobody measures. */
    [[nodiscard]] static null_byte_meter& instance()
    {
        static null_byte_meter meter;
        return meter;
    }

    void on_sent(std::string_view /*address*/, traffic_class /*purpose*/,
                 std::size_t /*bytes*/) override
    {
    }

    void on_received(std::string_view /*address*/, traffic_class /*purpose*/,
                     std::size_t /*bytes*/) override
    {
    }
};

} // namespace savorywheel

#endif
