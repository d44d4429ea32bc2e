#ifndef SAVORYWHEEL_APPS_LOAD_CALL_SAMPLE_HPP
#define SAVORYWHEEL_APPS_LOAD_CALL_SAMPLE_HPP

#include <savorywheel/core/clock.hpp>

#include <load/call_path.hpp>
#include <load/request_result.hpp>

namespace savorywheel::load {

/** @brief Measurement of one completed request. */
struct call_sample {
    call_path path{call_path::mesh};
    /** @brief Result as seen by the caller. */
    request_result result{request_result::answered};
    /** @brief Time from the scheduled arrival until the response. */
    duration latency{};
};

} // namespace savorywheel::load

#endif
