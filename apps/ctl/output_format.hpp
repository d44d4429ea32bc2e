#ifndef SAVORYWHEEL_APPS_CTL_OUTPUT_FORMAT_HPP
#define SAVORYWHEEL_APPS_CTL_OUTPUT_FORMAT_HPP

#include <cstdint>

namespace savorywheel::ctl {

/** @brief Format of printed results. */
enum class output_format : std::uint8_t { text, json };

} // namespace savorywheel::ctl

#endif
