#ifndef SAVORYWHEEL_APPS_LOAD_CALL_SAMPLE_HPP
#define SAVORYWHEEL_APPS_LOAD_CALL_SAMPLE_HPP

#include <savorywheel/core/clock.hpp>

#include <load/call_path.hpp>
#include <load/request_result.hpp>

namespace savorywheel::load {

/** @brief One finished request. */
struct call_sample {
    /** @brief Way that it took. */
    call_path path{call_path::mesh};
    /** @brief What became of it. */
    request_result result{request_result::answered};
    /** @brief Time from when it was due until its answer. */
    duration latency{};
};

} // namespace savorywheel::load

#endif
