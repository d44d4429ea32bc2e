// One request of one caller crashes the servers that run it; then the requests of another caller
// with the same path, which are harmless, are refused.
#include "mesh.h"

using namespace review;

namespace {

constexpr std::size_t desks = 6;
constexpr std::size_t first_front = 6;
constexpr std::size_t first_office = 9;

struct kind {
    std::string path;
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
};

} // namespace

int main()
{
    mesh trial{"review/7/record.txt"};
    std::vector<std::string> services(desks, "desk");
    services.insert(services.end(), 3, "front");
    services.insert(services.end(), 3, "office");
    if (!trial.prepare(services)) {
        trial.finish(2);
    }
    trial.platform().put(
        "config", "main",
        make_configuration(5, {"desk", "front", "office"},
                           store::json::array({make_rule("/tariff/", "idempotent", "desk"),
                                               make_rule("/stock/", "idempotent", "desk")})));
    for (std::size_t i = 0; i < services.size(); ++i) {
        trial.start_node(i);
        std::vector<std::string> options{"slots=12", "work=60"};
        if (i < desks && has_trouble()) {
            options.insert(options.end(), {"crash-path=/tariff/all", "crash-caller=front"});
        }
        trial.start_server(i, options, 2000);
    }
    if (!trial.wait_ready(20'000)) {
        trial.finish(2);
    }
    sleep_ms(4000);
    std::atomic<bool> ends{false};
    std::vector<std::unique_ptr<kind>> kinds;
    for (const char* path : {"/tariff/all", "/stock/all"}) {
        kinds.push_back(std::make_unique<kind>());
        kinds.back()->path = path;
    }
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < 6; ++i) {
        clients.emplace_back([&, i] {
            auto& own = *kinds[i % 2];
            while (!ends) {
                // A client waits as Retry-After says, and tries once more.
                auto result = trial.request(first_office + i / 2, "GET", "desk.example", own.path,
                                            "", 2000, true);
                if (result.status != 200) {
                    sleep_ms(static_cast<std::int64_t>(1000 * std::atof(result.retry_after.c_str())));
                    result = trial.request(first_office + i / 2, "GET", "desk.example", own.path,
                                           "", 2000, true);
                }
                ++own.sent;
                own.served += result.status == 200 ? 1 : 0;
                sleep_ms(140);
            }
        });
    }
    sleep_ms(2000);
    // The request comes once at each machine of its caller.
    for (std::size_t i = 0; i < 3; ++i) {
        trial.request(first_front + i, "GET", "desk.example", "/tariff/all", "", 2000);
        sleep_ms(1000);
    }
    sleep_ms(50'000);
    ends = true;
    for (auto& client : clients) {
        client.join();
    }
    const double all_sent = kinds[0]->sent + kinds[1]->sent;
    const double all = (kinds[0]->served + kinds[1]->served) / all_sent;
    const double share = static_cast<double>(kinds[0]->served) / kinds[0]->sent;
    for (const auto& item : kinds) {
        trial.note("office " + item->path + ": " + std::to_string(item->served) + " of " +
                   std::to_string(item->sent) + " served");
    }
    trial.note("share served: of /tariff/ " + std::to_string(share) + ", of all requests " +
               std::to_string(all));
    trial.finish(share < all / 4 ? 1 : 0);
}
