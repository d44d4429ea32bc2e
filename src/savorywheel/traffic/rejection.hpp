#ifndef SAVORYWHEEL_TRAFFIC_REJECTION_HPP
#define SAVORYWHEEL_TRAFFIC_REJECTION_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace savorywheel {

/** @brief Why a caller gets an answer that no backend server gave. */
enum class rejection_kind : std::uint8_t {
    no_route, /**< The configuration has no route for the request. */
    not_run,  /**< No backend server has run the request, nor ever will. */
    unknown,  /**< It may have been run, and there is no whole answer. */
    expired   /**< Its deadline passed; it may have been run. */
};

/** @brief Answer of the mesh itself to a request. */
struct rejection {
    /** @brief Why. */
    rejection_kind kind{rejection_kind::unknown};
    /** @brief Why, in words. */
    std::string reason;
    /** @brief When the caller should try again, if it should. */
    std::optional<std::chrono::milliseconds> retry_after;

    /** @return True if a backend server may have run the request. */
    [[nodiscard]] bool may_have_run() const noexcept
    {
        return kind == rejection_kind::unknown || kind == rejection_kind::expired;
    }

    /** @return Status code for the kind. */
    [[nodiscard]] int status() const noexcept;
};

} // namespace savorywheel

#endif
