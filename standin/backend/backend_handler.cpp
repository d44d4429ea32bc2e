#include <savorywheel/http/http_status.hpp>

#include <standin/backend/backend_handler.hpp>
#include <standin/support/query.hpp>

#include <cstdlib>
#include <thread>
#include <utility>

namespace savorywheel::standin {

namespace {

constexpr int crash_exit_code = 70;
constexpr std::uint64_t permille = 1000;

} // namespace

backend_handler::backend_handler(backend_server self, random_source& random,
                                 const execution_log& executions)
    : self_{std::move(self)}, random_{random}, executions_{executions}
{
}

http_response backend_handler::handle(const http_request& request)
{
    if (path_of(request.target) == "/control") {
        return control(request);
    }
    executions_.record(find_header(request.headers, "x-request"));
    if (!find_header(request.headers, "x-crash").empty()) {
        std::_Exit(crash_exit_code);
    }
    ++executed_;
    const auto self = announcement();
    backend_behaviour behaviour;
    {
        const std::scoped_lock lock{mutex_};
        behaviour = behaviour_;
    }
    std::this_thread::sleep_for(behaviour.latency);
    const std::vector<http_header> headers{
        {"x-backend",
         self.service.str() + "/" + self.version.str() + "@" + to_string(self.endpoint)},
        {"x-request", std::string{find_header(request.headers, "x-request")}},
        {"Content-Type", "application/octet-stream"}};
    if (should_fail(request, behaviour)) {
        return {status_internal_error, headers, "failed\n"};
    }
    return {status_ok, headers, request.method + " " + request.target + "\n" + request.body};
}

backend_server backend_handler::announcement() const
{
    const std::scoped_lock lock{mutex_};
    return self_;
}

void backend_handler::set_state(server_state state)
{
    const std::scoped_lock lock{mutex_};
    self_.state = state;
}

http_response backend_handler::control(const http_request& request)
{
    const std::scoped_lock lock{mutex_};
    behaviour_.fail_permille = static_cast<unsigned>(
        query_number(request.target, "fail_permille", behaviour_.fail_permille));
    behaviour_.latency = std::chrono::microseconds{query_number(
        request.target, "latency_us", static_cast<std::uint64_t>(behaviour_.latency.count()))};
    if (!query_text(request.target, "mark").empty()) {
        executed_at_mark_ = executed_;
    }
    if (!query_text(request.target, "since_mark").empty()) {
        return {status_ok, {}, std::to_string(executed_ - executed_at_mark_) + "\n"};
    }
    if (const auto path = query_text(request.target, "fail_path"); !path.empty()) {
        behaviour_.fail_path = path;
    }
    if (const auto state = query_text(request.target, "state"); !state.empty()) {
        self_.state = state == "draining" ? server_state::draining : server_state::serving;
    }
    return {status_ok, {}, "set\n"};
}

bool backend_handler::should_fail(const http_request& request, const backend_behaviour& behaviour)
{
    if (behaviour.fail_permille == 0) {
        return false;
    }
    if (!behaviour.fail_path.empty() && path_of(request.target) != behaviour.fail_path) {
        return false;
    }
    return random_.below(permille) < behaviour.fail_permille;
}

} // namespace savorywheel::standin
