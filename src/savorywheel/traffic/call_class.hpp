#ifndef SAVORYWHEEL_TRAFFIC_CALL_CLASS_HPP
#define SAVORYWHEEL_TRAFFIC_CALL_CLASS_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace savorywheel {

/** @brief Class of a queued call among those of the same priorities; the first one starts first. */
enum class call_class : std::uint8_t {
    express, /**< Little work, or an inner call; refusing it would waste the work of an outer one.
              */
    on_time, /**< Expected to meet its target latency. */
    late,    /**< Expected to miss its target latency and to meet its deadline. */
    last_class = late
};

/** @brief Number of enumerators. */
inline constexpr std::size_t call_class_count =
    static_cast<std::size_t>(call_class::last_class) + 1;

/** @return Label value of the class in metrics. */
[[nodiscard]] std::string_view label_of(call_class placement) noexcept;

} // namespace savorywheel

#endif
