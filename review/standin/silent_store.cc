// The open connections to the store go silent, new ones work; 4 s later the operator moves a route.
// Rule CONFIG: no machine in touch handles a request by the old configuration later than `config`
// (2500 ms) after the acknowledgement.
#include "mesh.h"

using namespace review;

int main(int argc, char** argv)
{
    if (argc < 2) {
        return 2;
    }
    record.open(argv[1]);
    const auto range = free_range();
    const auto folder = temporary_folder();
    const endpoint store_address{range + "200", 8627};
    const endpoint store_door{range + "201", 8627};
    object_store store{store_address};
    tcp_proxy door{store_door, store_address};

    const std::vector<std::string> services{"lookup-a", "lookup-b"};
    std::vector<std::unique_ptr<node_process>> nodes;
    std::vector<node_process*> pointers;
    int index = 0;
    for (const std::string zone : {"tln-a", "trt-a"}) {
        for (const auto& service : services) {
            ++index;
            nodes.push_back(std::make_unique<node_process>("n" + std::to_string(index),
                                                           range + std::to_string(index), zone,
                                                           service, store_door, folder));
            pointers.push_back(nodes.back().get());
        }
    }
    store.put_spec("config", "main", configuration(5, services, "lookup-a"));
    record.line("configuration 5 acknowledged: /desk/ goes to lookup-a");
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
    client_group clients{pointers, "/desk/1", 200};
    clients.start();
    sleep_ms(6000);
    if (trouble()) {
        record.line("%d connections to the store go silent", door.silence());
    }
    sleep_ms(4000);
    const auto acknowledged = store.put_spec("config", "main", configuration(9, services, "lookup-b"));
    record.line("configuration 9 acknowledged: /desk/ goes to lookup-b");
    sleep_until_ms(acknowledged + 40'000);
    const auto sent = clients.stop();

    std::map<std::string, run_of_request> by_id;
    for (auto& item : runs.all()) {
        by_id[item.id] = item;
    }
    int late = 0;
    int stale = 0;
    int answered = 0;
    long last = 0;
    for (const auto& item : sent) {
        answered += item.status == 200 ? 1 : 0;
        if (item.at <= acknowledged + 2500) {
            continue;
        }
        ++late;
        if (by_id.contains(item.id) && by_id[item.id].service == "lookup-a") {
            ++stale;
            last = std::max(last, item.at - acknowledged);
        }
    }
    record.line("%zu requests sent, %d answered 200", sent.size(), answered);
    record.line("of %d requests sent later than 2.5 s after the acknowledgement, %d ran at the old "
                "service, the last %.1f s after it",
                late, stale, last / 1000.0);
    if (answered < static_cast<int>(sent.size()) / 2) {
        record.line("could not run: too few answers");
        nodes.clear();
        std::_Exit(2);
    }
    record.line(stale > 0 ? "CONFIG broken" : "CONFIG held");
    std::cout << late << " requests, " << stale << " by the old configuration\n" << std::flush;
    nodes.clear();
    std::_Exit(stale > 0 ? 1 : 0);
}
