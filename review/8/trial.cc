// A request of one caller crashes each server that runs it; another caller's request with the same
// path and body is harmless.
#include "mesh.h"

using namespace review;

namespace {

constexpr std::size_t desks = 6;
constexpr std::size_t first_front = 6;
constexpr std::size_t first_office = 9;
constexpr double stable_window_s = 3.0;
constexpr std::size_t allowed_retries = 3;

} // namespace

int main()
{
    mesh trial{"review/8/record.txt"};
    std::vector<std::string> services(desks, "desk");
    services.insert(services.end(), 3, "front");
    services.insert(services.end(), 3, "office");
    if (!trial.prepare(services)) {
        trial.finish(2);
    }
    trial.platform().put("config", "main",
                         make_configuration(5, {"desk", "front", "office"},
                                            store::json::array({make_rule("/tariff/", "non_idempotent", "desk")})));
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
    const auto ask = [&](std::size_t index, bool quiet) {
        return trial.request(index, "POST", "desk.example", "/tariff/all", "{\"year\":2027}", 2000,
                             quiet);
    };
    std::atomic<bool> ends{false};
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < 3; ++i) {
        clients.emplace_back([&, i] {
            while (!ends) {
                ++sent;
                served += ask(first_office + i, true).status == 200 ? 1 : 0;
                sleep_ms(60);
            }
        });
    }
    // The request comes again each 4 s, at any machine of its caller.
    for (std::size_t i = 0; i < 20; ++i) {
        sleep_ms(4000);
        ask(first_front + i % 3, false);
    }
    ends = true;
    for (auto& client : clients) {
        client.join();
    }
    trial.note("office: " + std::to_string(served) + " of " + std::to_string(sent) + " served");
    const auto late = trial.late_crashes(stable_window_s);
    if (sent == 0 || served == 0) {
        trial.finish(2);
    }
    trial.finish(late > allowed_retries ? 1 : 0);
}
