#ifndef SAVORYWHEEL_APPS_LOAD_CALL_SAMPLE_HPP
#define SAVORYWHEEL_APPS_LOAD_CALL_SAMPLE_HPP

#include <savorywheel/core/clock.hpp>

#include <load/call_path.hpp>
#include <load/call_verdict.hpp>

namespace savorywheel::load {

/** @brief One finished request. */
struct call_sample {
    /** @brief Way that it took. */
    call_path path{call_path::mesh};
    /** @brief What became of it. */
    call_verdict verdict{call_verdict::answered};
    /** @brief Time from when it was due until its answer. */
    duration latency{};
};

} // namespace savorywheel::load

#endif
