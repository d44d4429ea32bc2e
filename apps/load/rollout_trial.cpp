#include <savorywheel/admin/status_report.hpp>
#include <savorywheel/config/rfc3339_time.hpp>
#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/http/http_status.hpp>

#include <fmt/format.h>
#include <load/background_load.hpp>
#include <load/config_text.hpp>
#include <load/fixed_steps.hpp>
#include <load/rollout_trial.hpp>
#include <load/wait_until.hpp>

#include <algorithm>
#include <memory>

namespace savorywheel::load {

namespace {

constexpr std::chrono::seconds move_duration{30};
constexpr std::chrono::seconds steps_duration{27};
constexpr std::chrono::seconds observation_time{36};
constexpr std::chrono::seconds late_fault_delay{10};
constexpr std::chrono::milliseconds request_timeout{2000};
constexpr std::chrono::milliseconds status_period{100};
constexpr double calls_per_second = 100.0;
constexpr unsigned fail_permille = 500;
constexpr std::uint32_t connections = 16;
constexpr double percent = 100.0;

std::string other_version(const std::string& version)
{
    return version == "v1" ? "v2" : "v1";
}

double seconds_between(monotonic_time from, monotonic_time until)
{
    return std::chrono::duration<double>(until - from).count();
}

load_plan make_load_plan(const bench_mesh& mesh, const std::string& service)
{
    load_plan plan;
    plan.per_second = calls_per_second;
    plan.period = observation_time;
    plan.connections = connections;
    load_target target;
    target.service = service_name{service};
    target.path = std::string{"/"};
    plan.targets.push_back(std::move(target));
    for (const auto& member : mesh.members()) {
        plan.nodes.push_back(member.traffic);
    }
    return plan;
}

std::optional<double> percentage(std::uint64_t part, std::uint64_t whole)
{
    if (whole == 0) {
        return std::nullopt;
    }
    return percent * static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

figure_list rollout_trial::run()
{
    if (!start_versions()) {
        return {};
    }
    for (unsigned round = 0; round < rounds_; ++round) {
        run_round(round);
    }
    return report();
}

bool rollout_trial::start_versions()
{
    for (std::size_t i = 1; i < mesh_.members().size(); i += 2) {
        mesh_.replace_backend(i, "v2");
    }
    for (const auto& service : mesh_.layout().services) {
        current_[service] = "v1";
    }
    return mesh_.wait_until_ready() && apply(current_, false);
}

void rollout_trial::run_round(unsigned round)
{
    auto moves = plan_moves(round);
    fixed_steps steps{mesh_, moves[2].service, current_[moves[2].service], moves[2].version};
    if (round % 2 == 0) {
        start_faults(moves, time_.now());
    }
    std::vector<std::unique_ptr<background_load>> loads;
    loads.reserve(moves.size());
    for (const auto& move : moves) {
        loads.push_back(
            std::make_unique<background_load>(make_load_plan(mesh_, move.service), mesh_.client()));
    }
    wait_for_end(moves, steps);
    for (std::size_t i = 0; i < moves.size(); ++i) {
        loads[i]->stop();
        const auto summary = loads[i]->finish();
        moves.at(i).failed_calls = summary.failed();
    }
    count(moves, steps.accepted());
    steps.release();
    clean_up(moves);
}

void rollout_trial::wait_for_end(std::array<move_observation, 3>& moves, fixed_steps& steps)
{
    auto& good = moves[0];
    auto& bad = moves[1];
    auto target = current_;
    target[good.service] = good.version;
    target[bad.service] = bad.version;
    due_ = time_.calendar_now() + move_duration;
    if (!apply(target, true)) {
        return;
    }
    const auto started = time_.now();
    for (auto& move : moves) {
        move.started_at = started;
    }
    const auto ended = [&] {
        const auto elapsed = time_.now() - started;
        if (!bad.faulty_since && elapsed > late_fault_delay) {
            start_faults(moves, time_.now());
        }
        steps.advance(elapsed, steps_duration);
        observe(moves);
        return good.ended() && bad.ended() && elapsed > move_duration;
    };
    static_cast<void>(wait_until(ended, observation_time, status_period));
}

std::array<move_observation, 3> rollout_trial::plan_moves(unsigned round) const
{
    const auto& services = mesh_.layout().services;
    std::array<move_observation, 3> moves;
    for (std::size_t i = 0; i < moves.size(); ++i) {
        moves.at(i).service = services[(round + i) % services.size()];
        moves.at(i).version = other_version(current_.at(moves.at(i).service));
        moves.at(i).bad = i > 0;
    }
    return moves;
}

void rollout_trial::start_faults(std::span<move_observation> moves, monotonic_time now)
{
    for (auto& move : moves) {
        if (move.bad) {
            set_fault(move, fail_permille);
            move.faulty_since = now;
        }
    }
}

void rollout_trial::clean_up(std::span<const move_observation> moves)
{
    for (const auto& move : moves) {
        if (move.bad) {
            set_fault(move, 0);
        }
        else if (move.done_at) {
            current_[move.service] = move.version;
        }
    }
    static_cast<void>(apply(current_, false));
}

void rollout_trial::set_fault(const move_observation& move, unsigned permille)
{
    for (const auto& member : mesh_.members()) {
        if (member.service == move.service && member.version == move.version) {
            static_cast<void>(mesh_.client().send(
                member.backend, {"PUT", fmt::format("/control?fail_permille={}", permille), {}, {}},
                request_timeout));
        }
    }
}

bool rollout_trial::apply(const std::map<std::string, std::string>& versions, bool with_due)
{
    const auto text = make_rollout_config_text(
        mesh_.layout(), versions, with_due ? format_calendar_time(due_) : std::string{});
    const auto response = mesh_.send_operator_request("PUT", "/config", text);
    return response && response->status == status_ok;
}

void rollout_trial::observe(std::span<move_observation> moves)
{
    const auto response =
        mesh_.client().send(mesh_.members()[0].admin, {"GET", "/status", {}, {}}, request_timeout);
    const auto report = response ? decode_json<status_report>(response->body)
                                 : outcome<status_report>{response.reason()};
    if (!report) {
        return;
    }
    const auto now = time_.now();
    for (auto& move : moves) {
        const auto found = std::ranges::find(report->services, service_name{move.service},
                                             &service_status::service);
        if (found == report->services.end() || found->due != format_calendar_time(due_)) {
            continue;
        }
        if (found->move == "done" && !move.done_at) {
            move.done_at = now;
        }
        if (found->move == "withdrawn" && !move.withdrawn_at) {
            move.withdrawn_at = now;
        }
    }
}

void rollout_trial::count(const std::array<move_observation, 3>& moves, bool baseline_valid)
{
    const auto& good = moves[0];
    const auto& bad = moves[1];
    const auto& baseline = moves[2];
    ++good_;
    good_failed_calls_.add(static_cast<double>(good.failed_calls));
    if (good.done_at && *good.done_at - good.started_at <= move_duration) {
        ++good_on_time_;
        good_seconds_.add(seconds_between(good.started_at, *good.done_at));
    }
    ++bad_;
    bad_failed_calls_.add(static_cast<double>(bad.failed_calls));
    if (baseline_valid) {
        baseline_failed_calls_.add(static_cast<double>(baseline.failed_calls));
        failed_ratio_.add(static_cast<double>(bad.failed_calls) /
                          std::max(1.0, static_cast<double>(baseline.failed_calls)));
    }
    if (bad.withdrawn_at) {
        ++bad_withdrawn_;
        const auto since = std::max(bad.started_at, bad.faulty_since.value_or(bad.started_at));
        withdraw_seconds_.add(seconds_between(since, *bad.withdrawn_at));
    }
}

figure_list rollout_trial::report() const
{
    figure_list figures;
    const auto add = [&figures](std::string name, const sample_set& set, double quantile,
                                std::string unit) {
        figures.add(std::move(name),
                    set.sorted().empty() ? std::nullopt : std::optional{set.quantile(quantile)},
                    std::move(unit));
    };
    figures.add("good_versions", static_cast<double>(good_), "moves");
    figures.add("good_versions_on_time", percentage(good_on_time_, good_), "%");
    add("good_versions_time_p50", good_seconds_, 0.5, "s");
    add("good_versions_failed_calls_max", good_failed_calls_, 1.0, "calls");
    figures.add("bad_versions", static_cast<double>(bad_), "moves");
    figures.add("bad_versions_taken_back", percentage(bad_withdrawn_, bad_), "%");
    add("bad_versions_time_p50", withdraw_seconds_, 0.5, "s");
    add("bad_versions_time_max", withdraw_seconds_, 1.0, "s");
    add("bad_versions_failed_calls_p50", bad_failed_calls_, 0.5, "calls");
    add("bad_versions_failed_calls_max", bad_failed_calls_, 1.0, "calls");
    add("fixed_steps_failed_calls_p50", baseline_failed_calls_, 0.5, "calls");
    add("failed_calls_to_fixed_steps_median", failed_ratio_, 0.5, "ratio");
    add("failed_calls_to_fixed_steps_least", failed_ratio_, 0.0, "ratio");
    add("failed_calls_to_fixed_steps_greatest", failed_ratio_, 1.0, "ratio");
    return figures;
}

} // namespace savorywheel::load
