#include <savorywheel/http/http_status.hpp>

#include <fmt/format.h>
#include <load/fixed_steps.hpp>

#include <array>
#include <utility>

namespace savorywheel::load {

namespace {

constexpr std::array<unsigned, 9> shares_permille{10, 20, 50, 100, 200, 350, 500, 700, 1000};
constexpr unsigned weight_total_permille = 1000;

std::string override_body(const std::string& from, const std::string& to, unsigned permille)
{
    return fmt::format(R"({{"object":{{"weights":[{{"version":"{}","permille":{}}},)"
                       R"({{"version":"{}","permille":{}}}],"reason":"fixed steps"}}}})",
                       from, weight_total_permille - permille, to, permille);
}

} // namespace

fixed_steps::fixed_steps(bench_mesh& mesh, std::string service, std::string from, std::string to)
    : mesh_{mesh}, service_{std::move(service)}, from_{std::move(from)}, to_{std::move(to)}
{
}

void fixed_steps::advance(duration elapsed, duration total_duration)
{
    const auto due =
        static_cast<std::size_t>(elapsed * (shares_permille.size() - 1) / total_duration) + 1;
    if (steps_done_ >= std::min(due, shares_permille.size())) {
        return;
    }
    steps_done_ = std::min(due, shares_permille.size());
    const auto body = override_body(from_, to_, shares_permille.at(steps_done_ - 1));
    const auto response = mesh_.send_operator_request("PUT", "/override/" + service_, body);
    accepted_ = accepted_ && response && response->status == status_ok;
}

void fixed_steps::release()
{
    static_cast<void>(mesh_.send_operator_request("DELETE", "/override/" + service_,
                                                  R"({"object":{"weights":[],"reason":"done"}})"));
}

} // namespace savorywheel::load
