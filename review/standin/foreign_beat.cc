// One heartbeat of another writer names a service that no configuration names. Ten seconds later the
// operator adds a route to the service whose only server stands beside that node.
// Rule CONFIG: in steady state, routes that were added later are not served less than a quarter as
// often as the first ones (20 requests or more).
#include "mesh.h"

using namespace review;

namespace {

struct share {
    int sent{};
    int served{};
};

share count_after(const std::vector<sent_request>& sent, long from)
{
    share result;
    for (const auto& item : sent) {
        if (item.at > from) {
            ++result.sent;
            result.served += item.status == 200 ? 1 : 0;
        }
    }
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 2) {
        return 2;
    }
    record.open(argv[1]);
    const auto range = free_range();
    const auto folder = temporary_folder();
    const endpoint store_address{range + "200", 8627};
    object_store store{store_address};
    const std::vector<std::string> services{"lookup-a", "scan-b"};
    std::vector<std::unique_ptr<node_process>> nodes;
    std::vector<node_process*> pointers;
    const std::vector<std::string> placed{"lookup-a", "lookup-a", "scan-b"};
    for (std::size_t i = 0; i < placed.size(); ++i) {
        nodes.push_back(std::make_unique<node_process>(
            "n" + std::to_string(i + 1), range + std::to_string(i + 1), i % 2 ? "trt-a" : "tln-a",
            placed[i], store_address, folder));
        pointers.push_back(nodes.back().get());
    }
    store.put_spec("config", "main", configuration(5, services, "lookup-a"));
    run_log runs;
    std::vector<std::unique_ptr<app_server>> servers;
    for (auto* node : pointers) {
        node->start();
        servers.push_back(std::make_unique<app_server>(*node, "i-" + node->name(), runs));
    }
    if (!wait_until_ready(pointers, 20'000)) {
        record.line("could not run: the nodes are not ready");
        nodes.clear();
        std::_Exit(2);
    }
    client_group first{pointers, "/desk/1", 100};
    first.start();
    sleep_ms(5000);
    if (trouble()) {
        const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
                              std::chrono::system_clock::now().time_since_epoch())
                              .count();
        const json body{{"service", "ghost-x"},  {"address", range + "199:8628"},
                        {"zone", "tln-a"},       {"version", "v1"},
                        {"max-concurrency", 12}, {"state", "ready"},
                        {"warmup-left", "0ms"},  {"sequence", 1},
                        {"born", born}};
        const auto answer = call(pointers[2]->control(),
                                 {"PUT /instances/i-foreign HTTP/1.1",
                                  {{"Host", "control"}, {"Content-Type", "application/json"}},
                                  body.dump()},
                                 1000);
        record.line("heartbeat of another writer at %s, service ghost-x: answer %d",
                    pointers[2]->name().c_str(), answer ? answer->status() : 0);
    }
    sleep_ms(10'000);
    auto changed = configuration(9, services, "lookup-a");
    auto& rules = changed["virtual-hosts"][0]["path-rules"];
    auto added = rules[0];
    added["name"] = "r-scan";
    added["path-prefix"] = "/scan/";
    added["service"] = "scan-b";
    rules.push_back(added);
    const auto acknowledged = store.put_spec("config", "main", changed);
    record.line("configuration 9 acknowledged: /scan/ goes to scan-b");
    sleep_ms(2500);
    client_group second{pointers, "/scan/1", 100};
    second.start();
    sleep_ms(15'000);
    const auto on_first = count_after(first.stop(), acknowledged + 2500);
    const auto on_added = count_after(second.stop(), acknowledged + 2500);
    record.line("first route: %d of %d served; added route: %d of %d served", on_first.served,
                on_first.sent, on_added.served, on_added.sent);
    if (on_first.served * 2 < on_first.sent || on_added.sent < 20) {
        record.line("could not run: too few requests");
        nodes.clear();
        std::_Exit(2);
    }
    const bool broken = 4L * on_added.served * on_first.sent < 1L * on_first.served * on_added.sent;
    record.line(broken ? "CONFIG broken" : "CONFIG held");
    std::cout << on_added.served << " of " << on_added.sent << " served on the added route, "
              << on_first.served << " of " << on_first.sent << " on the first\n"
              << std::flush;
    nodes.clear();
    std::_Exit(broken ? 1 : 0);
}
