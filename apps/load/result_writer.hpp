#ifndef SAVORYWHEEL_APPS_LOAD_RESULT_WRITER_HPP
#define SAVORYWHEEL_APPS_LOAD_RESULT_WRITER_HPP

#include <load/measurement_result.hpp>

#include <string>

namespace savorywheel::load {

/** @return A result as a JSON object for programs. */
[[nodiscard]] std::string write_json(const measurement_result& result);

/** @return A result as one HTML page with plots. */
[[nodiscard]] std::string write_html(const measurement_result& result);

} // namespace savorywheel::load

#endif
