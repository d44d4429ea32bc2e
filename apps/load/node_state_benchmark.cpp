#include <savorywheel/config/mesh_spec_parser.hpp>
#include <savorywheel/config/mesh_validator.hpp>
#include <savorywheel/core/system_clock_source.hpp>
#include <savorywheel/distribution/distribution_tree.hpp>
#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/membership/membership_sync_message.hpp>
#include <savorywheel/metrics/metric_registry.hpp>
#include <savorywheel/metrics/process_metric_source.hpp>
#include <savorywheel/routing/routing_table_builder.hpp>

#include <fmt/format.h>
#include <load/config_text.hpp>
#include <load/deployment.hpp>
#include <load/node_state_benchmark.hpp>
#include <load/sample_set.hpp>

namespace savorywheel::load {

namespace {

constexpr unsigned repetitions = 5;
constexpr double kilobytes_per_megabyte = 1024.0;
constexpr std::size_t domain_count = 10;
constexpr std::size_t region_count = 4;

double resident_mb()
{
    metric_registry registry;
    process_metric_source source;
    registry.add_source(source);
    static_cast<void>(registry.render());
    return static_cast<double>(registry.count("process_resident_kb")) / kilobytes_per_megabyte;
}

template<typename Function>
double median_ms(Function function)
{
    sample_set times;
    for (unsigned i = 0; i < repetitions; ++i) {
        const auto started = std::chrono::steady_clock::now();
        function();
        times.add(
            std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - started)
                .count());
    }
    return times.median();
}

service_name service_at(std::size_t index)
{
    return service_name{fmt::format("service-{:04}", index)};
}

member_update member_at(std::size_t index, std::size_t services)
{
    constexpr std::size_t block = 250;
    constexpr std::uint16_t peer_port = 7002;
    constexpr std::uint32_t slots = 12;
    member_record record;
    record.id = node_id{fmt::format("node-{:05}", index)};
    record.domain = failure_domain{fmt::format("domain-{}", index % domain_count)};
    record.region = region_name{fmt::format("region-{}", index % domain_count % region_count)};
    record.peer = {
        fmt::format("10.{}.{}.{}", index / block / block, index / block % block, index % block + 1),
        peer_port};
    record.service = service_at(index % services);
    record.version = version_name{"v1"};
    record.state = server_state::serving;
    record.slots = slots;
    record.incarnation = 1;
    return {std::move(record), member_status::alive};
}

mesh_state make_mesh_state(std::size_t services)
{
    std::vector<service_state> states(services);
    for (std::size_t i = 0; i < services; ++i) {
        states[i].spec.name = service_at(i);
        states[i].spec.routes.push_back({"/", true, std::chrono::milliseconds{2000}, {}});
        states[i].spec.target.weights.push_back({version_name{"v1"}, weight_sum_permille});
        states[i].weights = states[i].spec.target.weights;
    }
    return {config_version{1}, {}, states};
}

void add_membership(figure_list& figures, const member_table& table)
{
    membership_sync_message message;
    message.members = table.all();
    const auto bytes = encode(message);
    figures.add("members_encoded", static_cast<double>(bytes.size()), "B");
    figures.add("members_encode", median_ms([&] { static_cast<void>(encode(message)); }), "ms");
    figures.add("members_decode",
                median_ms([&] { static_cast<void>(decode<membership_sync_message>(bytes)); }),
                "ms");
}

void add_tree(figure_list& figures, const member_table& table)
{
    std::vector<node_id> domain;
    for (const auto& [id, item] : table.entries()) {
        if (item.update.record.domain == failure_domain{"domain-0"}) {
            domain.push_back(id);
        }
    }
    figures.add("tree_children", median_ms([&] {
                    static_cast<void>(tree_children(domain.front(), domain.back(), domain));
                }),
                "ms");
}

void add_text(figure_list& figures, std::size_t services)
{
    const auto layout = find_deployment("frigoporto");
    const auto text = make_config_text(*layout, services, 0);
    figures.add("text", static_cast<double>(text.size()), "B");
    figures.add("text_read_and_check", median_ms([&] {
                    findings report;
                    mesh_spec_parser reader;
                    const auto spec = reader.read(text, report);
                    mesh_validator{reader.positions(), system_clock_source{}.calendar_now()}.check(
                        spec, report);
                }),
                "ms");
}

} // namespace

figure_list measure_node_state(std::size_t members, std::size_t services)
{
    figure_list figures;
    const auto initial_mb = resident_mb();
    member_table table;
    const auto now = system_clock_source{}.now();
    const auto merge_started = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < members; ++i) {
        table.merge(member_at(i, services), now);
    }
    const std::chrono::duration<double, std::micro> merge_time =
        std::chrono::steady_clock::now() - merge_started;
    figures.add("member_merge", merge_time.count() / static_cast<double>(members), "us");
    figures.add("members_memory", resident_mb() - initial_mb, "MB");
    const auto mb_before_state = resident_mb();
    routing_table_builder builder;
    builder.set_state(make_mesh_state(services));
    const auto build_started = std::chrono::steady_clock::now();
    auto routes = builder.build(table);
    figures.add(
        "table_first",
        std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - build_started)
            .count(),
        "ms");
    figures.add("configuration_and_table_memory", resident_mb() - mb_before_state, "MB");
    std::uint64_t incarnation = 1;
    figures.add("table_after_one_member", median_ms([&] {
                    auto update = member_at(0, services);
                    update.record.incarnation = ++incarnation;
                    table.merge(update, now);
                    routes = builder.build(table);
                }),
                "ms");
    add_membership(figures, table);
    add_tree(figures, table);
    add_text(figures, services);
    return figures;
}

} // namespace savorywheel::load
