#ifndef SAVORYWHEEL_DISTRIBUTION_ORDER_CODEC_HPP
#define SAVORYWHEEL_DISTRIBUTION_ORDER_CODEC_HPP

#include <savorywheel/config/move_status.hpp>
#include <savorywheel/config/rollout_order.hpp>
#include <savorywheel/core/outcome.hpp>
#include <savorywheel/distribution/decoded_order.hpp>
#include <savorywheel/store/stored_object.hpp>

#include <string>
#include <string_view>

namespace savorywheel {

/** @brief Decodes rollout orders from the object store and encodes their status. */
class order_codec {
public:
    order_codec() = default;
    order_codec(const order_codec&) = delete;
    order_codec& operator=(const order_codec&) = delete;
    order_codec(order_codec&&) = delete;
    order_codec& operator=(order_codec&&) = delete;
    virtual ~order_codec() = default;

    /** @return Key prefix of the orders. */
    [[nodiscard]] virtual std::string_view prefix() const noexcept = 0;

    /**
     * @return The order, without a record if the stored one is invalid; a failure with code
     * `malformed` if the object is not an order.
     */
    [[nodiscard]] virtual outcome<decoded_order> decode(const stored_object& object) const = 0;

    /** @return Key of the object that stores the status of a service's order. */
    [[nodiscard]] virtual std::string status_key(const service_name& service) const = 0;

    /**
     * @param order The order, including its progress record.
     * @return The status document that operators read.
     */
    [[nodiscard]] virtual std::string encode_status(const rollout_order& order,
                                                    move_status status) const = 0;
};

} // namespace savorywheel

#endif
