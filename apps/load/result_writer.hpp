#ifndef SAVORYWHEEL_APPS_LOAD_RESULT_WRITER_HPP
#define SAVORYWHEEL_APPS_LOAD_RESULT_WRITER_HPP

#include <load/measurement_result.hpp>

#include <string>

namespace savorywheel::load {

/** @return Result as a JSON object. */
[[nodiscard]] std::string write_json(const measurement_result& result);

/** @return Result as a self-contained HTML page with plots. */
[[nodiscard]] std::string write_html(const measurement_result& result);

} // namespace savorywheel::load

#endif
