// A server leaves while the store is down, and its node is killed before the store is back; then a
// late heartbeat of the server brings it into use again.
#include "mesh.h"

using namespace review;

namespace {

constexpr std::size_t desks = 4;
constexpr std::size_t first_office = 4;
constexpr std::size_t leaver = 0;
constexpr double drain_s = 2.5;
constexpr double stable_window_s = 3.0;

} // namespace

int main()
{
    mesh trial{"review/10/record.txt"};
    std::vector<std::string> services(desks, "desk");
    services.insert(services.end(), 3, "office");
    if (!trial.prepare(services)) {
        trial.finish(2);
    }
    trial.platform().put(
        "config", "main",
        make_configuration(5, {"desk", "office"},
                           store::json::array({make_rule("/booking/", "non_idempotent", "desk")})));
    for (std::size_t i = 0; i < services.size(); ++i) {
        trial.start_node(i);
        trial.start_server(i, {"slots=12", "work=100", "late=2800", "stay=12000"}, 1'000'000);
    }
    if (!trial.wait_ready(20'000)) {
        trial.finish(2);
    }
    sleep_ms(4000);
    std::atomic<bool> ends{false};
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < 6; ++i) {
        clients.emplace_back([&, i] {
            while (!ends) {
                trial.request(first_office + i % 3, "POST", "desk.example", "/booking/new",
                              "{\"slot\":7}", 2000);
                sleep_ms(100);
            }
        });
    }
    sleep_ms(3000);
    if (has_trouble()) {
        trial.note("the store is down");
        trial.platform().set_down(true);
    }
    sleep_ms(300);
    ::kill(trial.at(leaver).server, SIGUSR1);
    sleep_ms(1100);
    double calm = 0;
    if (has_trouble()) {
        trial.stop_node(leaver, SIGKILL);
        sleep_ms(900);
        trial.note("the store is back");
        trial.platform().set_down(false);
        trial.start_node(leaver);
        calm = static_cast<double>(trial.time()) / 1000 + stable_window_s;
    }
    sleep_ms(12'000);
    ends = true;
    for (auto& client : clients) {
        client.join();
    }
    const auto answers = trial.lines("gets 200 for its DELETE");
    if (answers.empty()) {
        trial.finish(2);
    }
    // All machines are in touch again from "calm" on.
    const auto from = std::max(answers.front().first + drain_s, calm);
    std::size_t late = 0;
    for (const auto& [time, text] : trial.lines("server of v1 runs i-sidecar-1-1 ")) {
        late += time > from + 0.3 ? 1 : 0;
    }
    trial.note(std::to_string(late) +
               " requests ran at the server that had left, later than drain after its DELETE was "
               "acknowledged, and with all machines in touch");
    trial.finish(late > 0 ? 1 : 0);
}
