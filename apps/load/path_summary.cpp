#include <load/path_summary.hpp>

#include <utility>
#include <vector>

namespace savorywheel::load {

std::uint64_t path_summary::count() const noexcept
{
    std::uint64_t sum{};
    for (const auto& [result, number] : results) {
        sum += number;
    }
    return sum;
}

std::uint64_t path_summary::failed() const noexcept
{
    const auto found = results.find(request_result::answered);
    return count() - (found == results.end() ? 0 : found->second);
}

path_summary summarize(std::span<const call_sample> samples, call_path path)
{
    path_summary summary;
    std::vector<double> latencies;
    for (const auto& sample : samples) {
        if (sample.path != path) {
            continue;
        }
        ++summary.results[sample.result];
        if (sample.result == request_result::answered) {
            latencies.push_back(std::chrono::duration<double, std::milli>(sample.latency).count());
        }
    }
    summary.latency_ms = sample_set{std::move(latencies)};
    return summary;
}

} // namespace savorywheel::load
