#ifndef SAVORYWHEEL_TRAFFIC_RESPONSE_CLASS_HPP
#define SAVORYWHEEL_TRAFFIC_RESPONSE_CLASS_HPP

#include <savorywheel/traffic/response_origin.hpp>
#include <savorywheel/traffic/response_verdict.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace savorywheel {

/** @brief Kinds of responses of a backend server that are counted separately. */
enum class response_class : std::uint8_t {
    success,          /**< Complete, with a status of 200 to 299. */
    failure,          /**< Complete, with another status. */
    unsigned_failure, /**< Not forwarded; without a signature, with another status. */
    refusal,          /**< States that the named request was not run. */
    unnamed_refusal,  /**< States that a request was not run, without naming one. */
    untrusted,        /**< Not forwarded for another reason. */
    last_class = untrusted
};

/** @brief Number of enumerators of response_class. */
inline constexpr std::size_t response_class_count =
    static_cast<std::size_t>(response_class::last_class) + 1;

/** @return The class of a response with the given verdict. */
[[nodiscard]] response_class classify(response_verdict verdict, int status,
                                      const response_origin& origin) noexcept;

/** @return Label value of the class in metrics. */
[[nodiscard]] std::string_view label_of(response_class kind) noexcept;

} // namespace savorywheel

#endif
