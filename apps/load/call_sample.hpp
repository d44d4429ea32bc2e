#ifndef SAVORYWHEEL_APPS_LOAD_CALL_SAMPLE_HPP
#define SAVORYWHEEL_APPS_LOAD_CALL_SAMPLE_HPP

#include <savorywheel/core/clock.hpp>

#include <load/call_path.hpp>
#include <load/call_verdict.hpp>

namespace savorywheel::load {

/** @brief Measurement of one completed request. */
struct call_sample {
    call_path path{call_path::mesh};
    /** @brief Result as seen by the caller. */
    call_verdict verdict{call_verdict::answered};
    /** @brief Time from the scheduled arrival until the response. */
    duration latency{};
};

} // namespace savorywheel::load

#endif
