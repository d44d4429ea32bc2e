#ifndef SAVORYWHEEL_APPS_LOAD_PATH_SUMMARY_HPP
#define SAVORYWHEEL_APPS_LOAD_PATH_SUMMARY_HPP

#include <load/call_sample.hpp>
#include <load/sample_set.hpp>

#include <cstdint>
#include <map>
#include <span>

namespace savorywheel::load {

/** @brief Requests of one path. */
struct path_summary {
    /** @brief Number of requests by verdict. */
    std::map<request_result, std::uint64_t> results;
    /** @brief Latency of the answered ones, in milliseconds. */
    sample_set latency_ms;

    /** @return All requests. */
    [[nodiscard]] std::uint64_t count() const noexcept;

    /** @return Requests that were not answered. */
    [[nodiscard]] std::uint64_t failed() const noexcept;
};

/** @return The summary of the samples of one path. */
[[nodiscard]] path_summary summarize(std::span<const call_sample> samples, call_path path);

} // namespace savorywheel::load

#endif
