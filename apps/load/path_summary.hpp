#ifndef SAVORYWHEEL_APPS_LOAD_PATH_SUMMARY_HPP
#define SAVORYWHEEL_APPS_LOAD_PATH_SUMMARY_HPP

#include <load/call_sample.hpp>
#include <load/sample_set.hpp>

#include <cstdint>
#include <map>
#include <span>

namespace savorywheel::load {

/** @brief Summary of the requests of one path. */
struct path_summary {
    /** @brief Number of requests by result. */
    std::map<request_result, std::uint64_t> results;
    /** @brief Latency of the answered requests in milliseconds. */
    sample_set latency_ms;

    /** @return Number of all requests. */
    [[nodiscard]] std::uint64_t count() const noexcept;

    /** @return Number of requests with any result but answered. */
    [[nodiscard]] std::uint64_t failed() const noexcept;
};

/** @return Summary of the samples of one path. */
[[nodiscard]] path_summary summarize(std::span<const call_sample> samples, call_path path);

} // namespace savorywheel::load

#endif
