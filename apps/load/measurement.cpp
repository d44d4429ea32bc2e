#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/core/system_clock_source.hpp>
#include <savorywheel/transport/traffic_class.hpp>

#include <fmt/format.h>
#include <load/cost_report.hpp>
#include <load/load_generator.hpp>
#include <load/load_report.hpp>
#include <load/measurement.hpp>
#include <load/mesh_load_plan.hpp>
#include <load/path_summary.hpp>
#include <load/rollout_trial.hpp>
#include <load/store_watchers.hpp>
#include <load/wait_until.hpp>

#include <iostream>
#include <thread>
#include <utility>

namespace savorywheel::load {

namespace {

constexpr double percentile_99 = 0.99;
constexpr double convergence_budget_ms = 4000.0;
constexpr std::chrono::seconds warm_up_period{3};

std::vector<double> to_vector(std::span<const double> values)
{
    return {values.begin(), values.end()};
}

sample_set merge_samples(std::span<const sample_set> parts)
{
    std::vector<double> values;
    for (const auto& part : parts) {
        values.insert(values.end(), part.sorted().begin(), part.sorted().end());
    }
    return sample_set{std::move(values)};
}

} // namespace

measurement::measurement(measure_options options, const deployment& layout)
    : options_{std::move(options)}, mesh_{options_, layout}, logs_{mesh_},
      changes_{mesh_, options_.extra_services}, started_{system_clock_source{}.now()}
{
    result_.deployment = layout.name;
    result_.nodes = mesh_.members().size();
}

measurement_result measurement::run()
{
    progress(fmt::format("waiting for {} nodes", mesh_.members().size()));
    if (!mesh_.wait_until_ready()) {
        result_.faults.emplace_back("the mesh was not ready before the timeout");
        return result_;
    }
    result_.figures.add(
        "join_all", std::chrono::duration<double>(system_clock_source{}.now() - started_).count(),
        "s");
    if (!changes_.change(logs_)) {
        result_.faults.emplace_back("the first change was refused or did not converge");
        return result_;
    }
    measure_convergence();
    wait_for_membership();
    measure_idle();
    measure_load();
    measure_domain_restart();
    measure_rollouts();
    return result_;
}

void measurement::measure_convergence()
{
    std::vector<phase_samples> mesh;
    std::vector<phase_samples> baseline;
    for (unsigned round = 0; round < options_.rounds; ++round) {
        progress(fmt::format("convergence, round {} of {}", round + 1, options_.rounds));
        mesh.push_back(measure_mesh_phase());
        baseline.push_back(measure_watch_phase());
    }
    add_convergence("convergence", mesh);
    add_convergence("watching_convergence", baseline);
    add_ratios(mesh, baseline);
}

void measurement::add_convergence(std::string_view name, const std::vector<phase_samples>& phases)
{
    std::vector<sample_set> parts;
    std::vector<sample_set> total_parts;
    for (const auto& phase : phases) {
        parts.push_back(phase.convergence_ms);
        total_parts.push_back(phase.total_ms);
    }
    const auto total = merge_samples(total_parts);
    const auto all = merge_samples(parts);
    if (all.sorted().empty()) {
        return;
    }
    result_.figures.add(fmt::format("{}_p50", name), all.median(), "ms");
    result_.figures.add(fmt::format("{}_p99", name), all.quantile(percentile_99), "ms");
    result_.figures.add(fmt::format("{}_max", name), all.maximum(), "ms", convergence_budget_ms);
    result_.figures.add(fmt::format("{}_from_sending_p50", name), total.median(), "ms");
    result_.figures.add(fmt::format("{}_from_sending_max", name), total.maximum(), "ms",
                        convergence_budget_ms);
    result_.convergence.push_back({std::string{name}, to_vector(total.sorted())});
}

void measurement::add_ratios(const std::vector<phase_samples>& mesh,
                             const std::vector<phase_samples>& baseline)
{
    sample_set time;
    sample_set calls;
    sample_set bytes;
    sample_set watching_bytes;
    for (std::size_t i = 0; i < mesh.size(); ++i) {
        time.add(mesh[i].total_ms.median() / std::max(1.0, baseline[i].total_ms.median()));
        calls.add(baseline[i].store_calls_per_second /
                  std::max(0.1, mesh[i].store_calls_per_second));
        bytes.add(mesh[i].bytes_per_change);
        watching_bytes.add(baseline[i].bytes_per_change);
    }
    auto& figures = result_.figures;
    figures.add("convergence_to_watching_median", time.median(), "ratio");
    figures.add("convergence_to_watching_least", time.minimum(), "ratio");
    figures.add("convergence_to_watching_greatest", time.maximum(), "ratio");
    figures.add("watching_store_calls_to_mesh", calls.median(), "ratio");
    figures.add("commit_bytes_per_change", bytes.median(), "B/node");
    figures.add("watching_commit_bytes_per_change", watching_bytes.median(), "B/node");
}

measurement::phase_samples measurement::measure_mesh_phase()
{
    const auto before = take_mesh_snapshot(mesh_);
    phase_samples phase;
    make_changes(logs_, phase);
    const auto after = take_mesh_snapshot(mesh_);
    phase.bytes_per_change = mean_growth(before, after, "bytes_received_commit") / options_.changes;
    phase.store_calls_per_second = platform_rate(before, after, "reads") +
                                   platform_rate(before, after, "watches") +
                                   platform_rate(before, after, "writes");
    return phase;
}

measurement::phase_samples measurement::measure_watch_phase()
{
    store_watchers watchers{mesh_, std::chrono::milliseconds{options_.region_delay_ms}};
    static_cast<void>(changes_.change(watchers));
    const auto bytes = watchers.bytes();
    const auto before = mesh_.platform_metrics();
    phase_samples phase;
    make_changes(watchers, phase);
    const auto after = mesh_.platform_metrics();
    const auto seconds = std::chrono::duration<double>(after.at - before.at).count();
    phase.bytes_per_change = static_cast<double>(watchers.bytes() - bytes) / options_.changes /
                             static_cast<double>(mesh_.members().size());
    for (const auto* name : {"reads", "watches", "writes"}) {
        phase.store_calls_per_second += (after.value(name) - before.value(name)) / seconds;
    }
    return phase;
}

void measurement::make_changes(convergence_observer& observer, phase_samples& phase)
{
    constexpr std::chrono::milliseconds pause{100};
    for (unsigned i = 0; i < options_.changes; ++i) {
        if (const auto done = changes_.change(observer)) {
            phase.convergence_ms.add(done->convergence_ms);
            phase.total_ms.add(done->total_ms);
        }
        else {
            result_.faults.emplace_back("a change was refused or did not converge in time");
        }
        std::this_thread::sleep_for(pause);
    }
}

void measurement::wait_for_membership()
{
    constexpr double settled_probe_bytes = 200.0;
    constexpr std::chrono::seconds window{2};
    progress("waiting for the dissemination of membership updates");
    const auto start = system_clock_source{}.now();
    auto before = take_mesh_snapshot(mesh_);
    const auto settled = [&] {
        const auto after = take_mesh_snapshot(mesh_);
        const auto mean = mean_growth(before, after, "bytes_sent_probe") /
                          std::max(1.0, mean_growth(before, after, "messages_sent_probe"));
        before = after;
        return mean < settled_probe_bytes;
    };
    std::this_thread::sleep_for(window);
    const bool done = wait_until(settled, std::chrono::seconds{options_.settle_seconds}, window);
    const auto seconds = std::chrono::duration<double>(system_clock_source{}.now() - start).count();
    result_.figures.add("settle", done ? std::optional{seconds} : std::nullopt, "s");
}

void measurement::measure_idle()
{
    progress(fmt::format("{} s without changes or calls", options_.seconds));
    const auto before = take_mesh_snapshot(mesh_);
    std::this_thread::sleep_for(std::chrono::seconds{options_.seconds});
    const auto after = take_mesh_snapshot(mesh_);
    result_.figures.append("idle_", make_cost_report(before, after));
    for (std::size_t i = 0; i < traffic_class_count; ++i) {
        const std::string purpose{to_string(static_cast<traffic_class>(i))};
        result_.bytes.push_back(
            {purpose, {mean_rate(before, after, fmt::format("bytes_sent_{}", purpose))}});
    }
}

void measurement::measure_load()
{
    progress(fmt::format("{} s of {} calls/s, half of them direct", options_.seconds,
                         options_.per_second));
    std::vector<call_sample> samples;
    generate(warm_up_period, samples);
    samples.clear();
    const auto before = take_mesh_snapshot(mesh_);
    generate(std::chrono::seconds{options_.seconds}, samples);
    const auto after = take_mesh_snapshot(mesh_);
    result_.figures.append("load_", make_load_report(samples));
    const auto calls = options_.per_second / 2.0 / static_cast<double>(mesh_.members().size());
    const auto idle = result_.figures.find("idle_processor_node").value_or(0.0);
    const auto busy = make_cost_report(before, after).find("processor_node").value_or(0.0);
    constexpr double microseconds_per_percent = 10'000.0;
    result_.figures.add("load_processor_per_call", (busy - idle) * microseconds_per_percent / calls,
                        "us");
    for (const auto path : {call_path::mesh, call_path::direct}) {
        result_.latency.push_back({path == call_path::mesh ? "mesh" : "direct",
                                   to_vector(summarize(samples, path).latency_ms.sorted())});
    }
}

void measurement::measure_domain_restart()
{
    const auto domain = mesh_.layout().domains.back().name;
    progress(fmt::format("failure domain {} returns", domain));
    mesh_.restart_domain(domain);
    const auto started = system_clock_source{}.now();
    if (!changes_.change(logs_, 0)) {
        result_.faults.emplace_back("a change did not converge after a failure domain restarted");
        return;
    }
    const auto seconds =
        std::chrono::duration<double>(system_clock_source{}.now() - started).count();
    sample_set reads;
    sample_set writes;
    sample_set bytes;
    for (std::size_t i = 0; i < mesh_.members().size(); ++i) {
        if (mesh_.members()[i].domain.name == domain) {
            const auto node = mesh_.node_metrics(i);
            reads.add(node.value("store_reads"));
            writes.add(node.value("store_writes"));
            bytes.add(node.value("control_bytes_received"));
        }
    }
    auto& figures = result_.figures;
    figures.add("return_until_in_force", seconds, "s");
    figures.add("return_store_reads_mean", reads.mean(), "1/node");
    figures.add("return_store_writes_mean", writes.mean(), "1/node");
    figures.add("return_control_bytes_received_mean", bytes.mean(), "B/node");
    static_cast<void>(mesh_.wait_until_ready());
}

void measurement::measure_rollouts()
{
    progress(fmt::format("{} rounds of a good and a bad version, each up to 36 s", options_.moves));
    figure_list moves;
    if (options_.moves > 0) {
        moves = rollout_trial{mesh_, options_.moves}.run();
    }
    if (moves.items().empty()) {
        moves.add("good_versions_on_time", std::nullopt, "%");
        moves.add("bad_versions_taken_back", std::nullopt, "%");
    }
    result_.figures.append("", moves);
}

void measurement::generate(std::chrono::seconds period, std::vector<call_sample>& samples)
{
    system_clock_source time;
    seeded_random random{1};
    load_generator generator{make_mesh_load_plan(options_, mesh_, period),
                             {time, random, mesh_.client()}};
    samples = generator.run();
}

void measurement::progress(std::string_view text) const
{
    const auto elapsed =
        std::chrono::duration<double>(system_clock_source{}.now() - started_).count();
    std::cerr << fmt::format("[{:6.1f} s] {}\n", elapsed, text);
}

} // namespace savorywheel::load
