#ifndef SAVORYWHEEL_TRANSPORT_NULL_BYTE_METER_HPP
#define SAVORYWHEEL_TRANSPORT_NULL_BYTE_METER_HPP

#include <savorywheel/transport/byte_meter.hpp>

namespace savorywheel {

/** @brief Ignores all messages; default of transports without accounting. */
class null_byte_meter final : public byte_meter {
public:
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
