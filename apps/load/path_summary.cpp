#include <load/path_summary.hpp>

#include <utility>
#include <vector>

namespace savorywheel::load {

std::uint64_t path_summary::count() const noexcept
{
    std::uint64_t sum{};
    for (const auto& [verdict, number] : verdicts) {
        sum += number;
    }
    return sum;
}

std::uint64_t path_summary::failed() const noexcept
{
    const auto found = verdicts.find(call_verdict::answered);
    return count() - (found == verdicts.end() ? 0 : found->second);
}

path_summary summarize(std::span<const call_sample> samples, call_path path)
{
    path_summary summary;
    std::vector<double> latencies;
    for (const auto& sample : samples) {
        if (sample.path != path) {
            continue;
        }
        ++summary.verdicts[sample.verdict];
        if (sample.verdict == call_verdict::answered) {
            latencies.push_back(std::chrono::duration<double, std::milli>(sample.latency).count());
        }
    }
    summary.latency_ms = sample_set{std::move(latencies)};
    return summary;
}

} // namespace savorywheel::load
