#ifndef SAVORYWHEEL_TRAFFIC_REJECTION_HPP
#define SAVORYWHEEL_TRAFFIC_REJECTION_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace savorywheel {

/** @brief Reason why the mesh responds in place of a backend server. */
enum class rejection_kind : std::uint8_t {
    no_route, /**< The configuration has no route for the request. */
    not_run,  /**< No backend server has run the request or will run it. */
    unknown,  /**< The request may have been run, without a complete response. */
    expired   /**< The deadline passed; the request may have been run. */
};

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
