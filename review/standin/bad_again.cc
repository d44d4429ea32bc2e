// A bad version is rolled back; while its servers are still there, the operator orders the next
// version.
// Rule EXPOSURE: between its order and its deadline the bad version gets no more than `expose-share`
// (0.1) of the service's requests + `expose-slack` (50).
#include "mesh.h"

using namespace review;

int main(int argc, char** argv)
{
    if (argc < 2) {
        return 2;
    }
    record.open(argv[1]);
    constexpr long duration = 14'000;
    const auto range = free_range();
    const auto folder = temporary_folder();
    const endpoint store_address{range + "200", 8627};
    object_store store{store_address};
    const std::vector<std::string> services{"lookup-a", "scan-b"};
    std::vector<std::unique_ptr<node_process>> nodes;
    const std::vector<std::string> placed{"lookup-a", "lookup-a", "scan-b",  "lookup-a",
                                          "lookup-a", "lookup-a", "lookup-a"};
    for (std::size_t i = 0; i < placed.size(); ++i) {
        nodes.push_back(std::make_unique<node_process>(
            "n" + std::to_string(i + 1), range + std::to_string(i + 1), i % 2 ? "trt-a" : "tln-a",
            placed[i], store_address, folder));
    }
    store.put_spec("config", "main", configuration(5, services, "lookup-a"));
    run_log runs;
    std::vector<std::unique_ptr<app_server>> servers;
    const auto add = [&](std::size_t index, const std::string& version, int fail_percent) {
        nodes[index]->start();
        servers.push_back(std::make_unique<app_server>(*nodes[index], "i-" + nodes[index]->name(),
                                                       runs, version, fail_percent));
    };
    for (std::size_t i = 0; i < 3; ++i) {
        add(i, "v1", 0);
    }
    const std::vector<node_process*> first{nodes[0].get(), nodes[1].get(), nodes[2].get()};
    if (!wait_until_ready(first, 20'000)) {
        record.line("could not run: the nodes are not ready");
        nodes.clear();
        std::_Exit(2);
    }
    client_group clients{first, "/desk/1", 30};
    clients.start();
    sleep_ms(6000);

    const auto ordered = store.put_spec(
        "rollouts", "lookup-a",
        {{"service", "lookup-a"}, {"target-version", "v2"}, {"duration", "14s"}});
    record.line("order for v2, to be done in 14 s");
    sleep_ms(1000);
    add(3, "v2", trouble() ? 50 : 0);
    add(4, "v2", trouble() ? 50 : 0);
    const auto state = [&] { return store.status_field("rollouts", "lookup-a", "state"); };
    while (now_ms() < ordered + 25'000 && state() != "rolled_back" && state() != "completed") {
        sleep_ms(50);
    }
    const auto ended = now_ms();
    const auto result = state();
    record.line("status of v2: %s", result.c_str());
    if (result != "rolled_back" && result != "completed") {
        record.line("could not run: the move of v2 has not ended");
        nodes.clear();
        std::_Exit(2);
    }
    if (result == "completed") {
        // The old servers stop at once.
        nodes[0]->signal_with(SIGTERM);
        nodes[1]->signal_with(SIGTERM);
    }
    sleep_ms(500);
    store.put_spec("rollouts", "lookup-a",
                   {{"service", "lookup-a"}, {"target-version", "v3"}, {"duration", "16s"}});
    record.line("order for v3, to be done in 16 s");
    sleep_ms(1000);
    add(5, "v3", 0);
    add(6, "v3", 0);
    if (result == "rolled_back") {
        sleep_until_ms(ended + 6000);
        servers[3]->drain();
        servers[4]->drain();
    }
    sleep_until_ms(std::max(ordered + duration, ended + 9000));
    const auto sent = clients.stop();

    int all = 0;
    int exposed = 0;
    int before = 0;
    int failed = 0;
    for (const auto& item : runs.all()) {
        if (item.service != "lookup-a" || item.at < ordered || item.at > ordered + duration) {
            continue;
        }
        ++all;
        if (item.version == "v2") {
            ++exposed;
            before += item.at <= ended ? 1 : 0;
            failed += item.good ? 0 : 1;
        }
    }
    const double allowed = 0.1 * all + 50;
    const bool bad = trouble();
    record.line("v2 got %d of %d requests between its order and its deadline (%d of them until its "
                "roll-back), %d failed; allowed %.0f",
                exposed, all, before, failed, allowed);
    if (all < 300 || (bad && result != "rolled_back")) {
        record.line("could not run: too few requests, or the bad version was not rolled back");
        nodes.clear();
        std::_Exit(2);
    }
    const bool broken = bad && exposed > allowed;
    record.line(broken ? "EXPOSURE broken" : "EXPOSURE held");
    std::cout << "v2 got " << exposed << " of " << all << ", " << before
              << " until its roll-back; allowed " << allowed << '\n'
              << std::flush;
    nodes.clear();
    std::_Exit(broken ? 1 : 0);
}
