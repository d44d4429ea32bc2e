// A request crashes each server that runs it; the nodes beside the servers are stopped and started
// in turn while it comes again.
#include "mesh.h"

using namespace review;

namespace {

constexpr std::size_t desks = 6;
constexpr std::size_t first_front = 6;
constexpr double stable_window_s = 3.0;
constexpr std::size_t allowed_retries = 3;

} // namespace

int main()
{
    mesh trial{"review/9/record.txt"};
    std::vector<std::string> services(desks, "desk");
    services.insert(services.end(), 3, "front");
    if (!trial.prepare(services)) {
        trial.finish(2);
    }
    trial.platform().put("config", "main",
                         make_configuration(5, {"desk", "front"},
                                            store::json::array({make_rule(
                                                "/tariff/", "idempotent", "desk")})));
    for (std::size_t i = 0; i < services.size(); ++i) {
        trial.start_node(i);
        trial.start_server(i, {"slots=12", "work=60", "crash-path=/tariff/bad", "crash-caller=front"},
                           2000);
    }
    if (!trial.wait_ready(20'000)) {
        trial.finish(2);
    }
    sleep_ms(4000);
    std::atomic<bool> ends{false};
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < 3; ++i) {
        clients.emplace_back([&, i] {
            while (!ends) {
                ++sent;
                served += trial.request(first_front + i, "GET", "desk.example",
                                        "/tariff/" + std::to_string(sent), "", 2000, true)
                                      .status == 200
                              ? 1
                              : 0;
                sleep_ms(100);
            }
        });
    }
    // The request comes again each half second, at any machine of its caller, which is not stopped.
    clients.emplace_back([&] {
        for (std::size_t i = 0; !ends; ++i) {
            trial.request(first_front + i % 3, "GET", "desk.example", "/tariff/bad", "", 2000);
            sleep_ms(500);
        }
    });
    sleep_ms(10'000);
    // roll_term: SIGTERM and a new start, one machine at a time, each 2 s.
    for (std::size_t i = 0; i < desks; ++i) {
        if (has_trouble()) {
            trial.stop_node(i, SIGTERM);
            trial.start_node(i);
        }
        sleep_ms(2000);
    }
    sleep_ms(10'000);
    ends = true;
    for (auto& client : clients) {
        client.join();
    }
    trial.note("other requests: " + std::to_string(served) + " of " + std::to_string(sent) +
               " served");
    const auto late = trial.late_crashes(stable_window_s);
    trial.finish(served == 0 ? 2 : late > allowed_retries ? 1 : 0);
}
