#include <savorywheel/metrics/prometheus_text.hpp>

#include <fmt/format.h>

#include <iterator>

namespace savorywheel {

namespace {

constexpr std::string_view prefix = "savorywheel_";
constexpr double milliseconds_per_second = 1000.0;

std::string escape_label_value(std::string_view value)
{
    std::string text;
    for (const char letter : value) {
        if (letter == '"' || letter == '\\') {
            text += '\\';
        }
        text += letter == '\n' ? ' ' : letter;
    }
    return text;
}

} // namespace

void prometheus_text::write_type_line(std::string_view type, std::string_view name)
{
    if (last_name_ != name) {
        last_name_ = name;
        fmt::format_to(std::back_inserter(text_), "# TYPE {}{} {}\n", prefix, name, type);
    }
}

void prometheus_text::add(std::string_view type, const metric_key& key, std::uint64_t value)
{
    write_type_line(type, key.name);
    const auto label = key.label.empty()
                           ? std::string{}
                           : fmt::format("{{{}=\"{}\"}}", key.label, escape_label_value(key.value));
    fmt::format_to(std::back_inserter(text_), "{}{}{} {}\n", prefix, key.name, label, value);
}

void prometheus_text::add_latency(std::string_view name, const latency_summary& summary)
{
    const auto full_name = fmt::format("{}_seconds", name);
    write_type_line("histogram", full_name);
    auto out = std::back_inserter(text_);
    for (std::size_t i = 0; i < latency_bounds_ms.size(); ++i) {
        fmt::format_to(out, "{}{}_bucket{{le=\"{}\"}} {}\n", prefix, full_name,
                       latency_bounds_ms.at(i) / milliseconds_per_second, summary.buckets.at(i));
    }
    fmt::format_to(out, "{}{}_bucket{{le=\"+Inf\"}} {}\n", prefix, full_name, summary.count);
    fmt::format_to(out, "{}{}_sum {:.6f}\n", prefix, full_name,
                   summary.sum_ms / milliseconds_per_second);
    fmt::format_to(out, "{}{}_count {}\n", prefix, full_name, summary.count);
    add_estimate(name, "mean", summary.mean_ms);
    add_estimate(name, "p50", summary.p50_ms);
    add_estimate(name, "p99", summary.p99_ms);
    add_estimate(name, "max", summary.max_ms);
}

void prometheus_text::add_estimate(std::string_view name, std::string_view kind,
                                   double milliseconds)
{
    const auto full_name = fmt::format("{}_{}_ms", name, kind);
    write_type_line("gauge", full_name);
    fmt::format_to(std::back_inserter(text_), "{}{} {:.4f}\n", prefix, full_name, milliseconds);
}

} // namespace savorywheel
