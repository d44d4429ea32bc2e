#include <fmt/format.h>
#include <load/load_report.hpp>
#include <load/path_summary.hpp>

namespace savorywheel::load {

namespace {

constexpr double percentile_99 = 0.99;
constexpr double added_latency_budget_ms = 0.55;

void add_path(figure_list& report, std::string_view name, const path_summary& summary)
{
    const auto& latency = summary.latency_ms;
    report.add(fmt::format("{}_calls", name), static_cast<double>(summary.count()), "calls");
    report.add(fmt::format("{}_p50", name), latency.median(), "ms");
    report.add(fmt::format("{}_p99", name), latency.quantile(percentile_99), "ms");
    report.add(fmt::format("{}_max", name), latency.maximum(), "ms");
    for (const auto result : all_request_results) {
        const auto found = summary.results.find(result);
        if (result != request_result::answered && found != summary.results.end()) {
            report.add(fmt::format("{}_{}", name, to_string(result)),
                       static_cast<double>(found->second), "calls");
        }
    }
}

} // namespace

figure_list make_load_report(std::span<const call_sample> samples)
{
    const auto mesh = summarize(samples, call_path::mesh);
    const auto direct = summarize(samples, call_path::direct);
    figure_list report;
    add_path(report, "mesh", mesh);
    if (direct.count() == 0) {
        return report;
    }
    add_path(report, "direct", direct);
    report.add("added_p50", mesh.latency_ms.median() - direct.latency_ms.median(), "ms");
    report.add("added_p99",
               mesh.latency_ms.quantile(percentile_99) - direct.latency_ms.quantile(percentile_99),
               "ms", added_latency_budget_ms);
    return report;
}

} // namespace savorywheel::load
