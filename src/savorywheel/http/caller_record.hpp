#ifndef SAVORYWHEEL_HTTP_CALLER_RECORD_HPP
#define SAVORYWHEEL_HTTP_CALLER_RECORD_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/http/caller_phase.hpp>

#include <cstddef>
#include <cstdint>

namespace savorywheel {

/** @brief What a server knows of one caller's connection. */
struct caller_record {
    std::uint64_t id{};
    caller_phase phase{caller_phase::idle};
    /** @brief Memory held for the caller, in bytes. */
    std::size_t held{};
    /** @brief Time of the last progress. */
    monotonic_time progressed{};
};

} // namespace savorywheel

#endif
