// A machine is stopped by plan (SIGTERM) while it waits for answers to requests that may not be
// repeated; the server would be done before the last sixth of the grace time begins.
// Rule LOST: each of them gets its complete answer.
#include "mesh.h"

using namespace review;

int main(int argc, char** argv)
{
    if (argc < 2) {
        return 2;
    }
    record.open(argv[1]);
    // The grace time is 6 s, so its last sixth begins at 5 s. The work ends at about 4.8 s.
    constexpr long work = 4950;
    constexpr long before_stop = 150;
    constexpr int count = 8;
    const auto range = free_range();
    const auto folder = temporary_folder();
    const endpoint store_address{range + "200", 8627};
    object_store store{store_address};
    const std::vector<std::string> services{"lookup-a", "scan-b"};
    std::vector<std::unique_ptr<node_process>> nodes;
    std::vector<node_process*> pointers;
    const std::vector<std::string> placed{"scan-b", "lookup-a", "lookup-a"};
    for (std::size_t i = 0; i < placed.size(); ++i) {
        nodes.push_back(std::make_unique<node_process>(
            "n" + std::to_string(i + 1), range + std::to_string(i + 1), i % 2 ? "trt-a" : "tln-a",
            placed[i], store_address, folder));
        pointers.push_back(nodes.back().get());
    }
    auto spec = configuration(5, services, "lookup-a");
    auto& rule = spec["virtual-hosts"][0]["path-rules"][0];
    rule["kind"] = "non_idempotent";
    rule["timeout"] = "10s";
    rule["target-latency"] = "8s";
    store.put_spec("config", "main", spec);
    run_log runs;
    std::vector<std::unique_ptr<app_server>> servers;
    for (auto* node : pointers) {
        node->start();
        servers.push_back(
            std::make_unique<app_server>(*node, "i-" + node->name(), runs, "v1", 0, work));
    }
    if (!wait_until_ready(pointers, 20'000)) {
        record.line("could not run: the nodes are not ready");
        nodes.clear();
        std::_Exit(2);
    }
    sleep_ms(5000);

    std::mutex mutex;
    int complete = 0;
    std::vector<std::thread> clients;
    const auto started = now_ms();
    for (int i = 0; i < count; ++i) {
        clients.emplace_back([&, i] {
            const auto id = "q-" + std::to_string(i);
            const auto at = now_ms();
            const auto answer = call(pointers[0]->outbound(),
                                     {"POST /desk/" + std::to_string(i) + " HTTP/1.1",
                                      {{"Host", "desk.example"},
                                       {"Savorywheel-Request-Id", id},
                                       {"Savorywheel-Deadline-Ms", "10000"}},
                                      "notice " + std::to_string(i)},
                                     10'000);
            const int status = answer ? answer->status() : 0;
            record.line("request %s, sent at %.3f s, has answer %d after %ld ms", id.c_str(),
                        at / 1000.0, status, now_ms() - at);
            const std::scoped_lock lock{mutex};
            complete += status == 200 ? 1 : 0;
        });
    }
    sleep_ms(before_stop);
    const auto stopped = now_ms();
    if (trouble()) {
        pointers[0]->signal_with(SIGTERM);
    }
    for (auto& item : clients) {
        item.join();
    }
    // The servers work on, and the record shows when they are done.
    sleep_until_ms(started + work + 500);
    const auto ran = static_cast<int>(runs.all().size());
    long last_end = 0;
    for (const auto& server : servers) {
        last_end = std::max(last_end, server->last_end());
    }
    if (trouble()) {
        record.line("the last run ended %.2f s after the SIGTERM", (last_end - stopped) / 1000.0);
    }
    record.line("%d requests ran, %d were answered completely", ran, complete);
    // A run in the last sixth of the grace time would be an excuse.
    if (ran < count || last_end == 0 || (trouble() && last_end >= stopped + 5000)) {
        record.line("could not run: not all requests ran, or not in time");
        nodes.clear();
        std::_Exit(2);
    }
    const bool broken = complete < ran;
    record.line(broken ? "LOST broken" : "LOST held");
    std::cout << ran << " ran, " << complete << " answered completely\n" << std::flush;
    nodes.clear();
    std::_Exit(broken ? 1 : 0);
}
