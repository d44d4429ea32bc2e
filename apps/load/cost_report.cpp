#include <savorywheel/transport/traffic_class.hpp>

#include <fmt/format.h>
#include <load/cost_report.hpp>

#include <array>

namespace savorywheel::load {

namespace {

constexpr double control_bytes_budget = 8000.0;
constexpr double memory_budget_mb = 256.0;
constexpr double kilobytes_per_megabyte = 1024.0;
constexpr double processor_budget_percent = 1.8;
constexpr double microseconds_per_percent = 10'000.0;
constexpr double write_budget = 300.0;
constexpr double read_budget = 2000.0;
constexpr std::array<std::string_view, 5> control_threads{"control", "datagrams", "streams",
                                                          "store", "store_watch"};

void add_bytes(figure_list& report, const mesh_snapshot& before, const mesh_snapshot& after)
{
    const auto total = mean_rate(before, after, "control_bytes_sent") +
                       mean_rate(before, after, "control_bytes_received");
    report.add("control_bytes", total, "B/s", control_bytes_budget);
    report.add("control_bytes_sent", mean_rate(before, after, "control_bytes_sent"), "B/s");
    report.add("control_bytes_sent_greatest", max_rate(before, after, "control_bytes_sent"), "B/s");
    report.add("control_bytes_sent_cross_region",
               mean_rate(before, after, "control_bytes_sent_cross_region"), "B/s");
    for (std::size_t i = 0; i < traffic_class_count; ++i) {
        const auto purpose = to_string(static_cast<traffic_class>(i));
        const auto bytes = mean_rate(before, after, fmt::format("bytes_sent_{}", purpose));
        const auto messages = mean_rate(before, after, fmt::format("messages_sent_{}", purpose));
        if (messages > 0.0) {
            report.add(fmt::format("sent_{}_bytes", purpose), bytes, "B/s");
            report.add(fmt::format("sent_{}_messages", purpose), messages, "1/s");
        }
    }
}

void add_processor(figure_list& report, const mesh_snapshot& before, const mesh_snapshot& after)
{
    double control{};
    for (const auto thread : control_threads) {
        const auto percent = mean_rate(before, after, fmt::format("thread_cpu_us_{}", thread)) /
                             microseconds_per_percent;
        report.add(fmt::format("processor_{}", thread), percent, "% core");
        control += percent;
    }
    report.add("processor_control_threads", control, "% core", processor_budget_percent);
    report.add("processor_node",
               mean_rate(before, after, "process_cpu_us") / microseconds_per_percent, "% core");
    report.add("memory_greatest",
               max_node_value(after, "process_resident_kb") / kilobytes_per_megabyte, "MB",
               memory_budget_mb);
    report.add("threads_greatest", max_node_value(after, "process_threads"), "threads");
}

} // namespace

figure_list make_cost_report(const mesh_snapshot& before, const mesh_snapshot& after)
{
    figure_list report;
    add_bytes(report, before, after);
    add_processor(report, before, after);
    const auto reads = platform_rate(before, after, "reads");
    const auto watches = platform_rate(before, after, "watches");
    report.add("store_reads_and_watches", reads + watches, "1/s", read_budget);
    report.add("store_watches", watches, "1/s");
    report.add("store_writes", platform_rate(before, after, "writes"), "1/s", write_budget);
    return report;
}

} // namespace savorywheel::load
