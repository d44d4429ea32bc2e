#ifndef SAVORYWHEEL_TRAFFIC_REJECTION_HPP
#define SAVORYWHEEL_TRAFFIC_REJECTION_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace savorywheel {

/** @brief Reason why the mesh responds in place of a backend server. */
enum class rejection_kind : std::uint8_t {
    no_route,         /**< The configuration has no route for the request. */
    stopping,         /**< This node stops and accepts no more requests. */
    no_configuration, /**< This node has no configuration yet. */
    no_service,       /**< The route leads to no known service. */
    unauthorized,     /**< The request has no API key, or one of no tenant. */
    unconfirmed,      /**< This node cannot tell whether the API key is still in force. */
    over_quota,       /**< The tenant has used its quota. */
    quota_unknown,    /**< This node cannot tell whether the tenant has used its quota. */
    not_run,          /**< No backend server has run the request or will run it. */
    unknown,          /**< The request may have been run, without a complete response. */
    expired,          /**< The deadline passed; the request may have been run. */
    last_kind = expired
};

/** @brief Number of enumerators of rejection_kind. */
inline constexpr std::size_t rejection_kind_count =
    static_cast<std::size_t>(rejection_kind::last_kind) + 1;

/** @return Label value of the kind in metrics and logs. */
[[nodiscard]] std::string_view label_of(rejection_kind kind) noexcept;

/** @brief Response of the mesh itself to a request. */
struct rejection {
    rejection_kind kind{rejection_kind::unknown};
    /** @brief Explanation for the caller. */
    std::string reason;
    /** @brief Time after which the caller should retry, if a retry is useful. */
    std::optional<std::chrono::milliseconds> retry_after;

    /** @return True if a backend server may have run the request. */
    [[nodiscard]] bool may_have_run() const noexcept
    {
        return kind == rejection_kind::unknown || kind == rejection_kind::expired;
    }

    /** @return HTTP status code for the kind. */
    [[nodiscard]] int status() const noexcept;
};

} // namespace savorywheel

#endif
