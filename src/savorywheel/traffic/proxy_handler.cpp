#include <savorywheel/traffic/proxy_handler.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace savorywheel {

namespace {

constexpr int status_not_found = 404;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
/** A call that had less time says nothing about the endpoint that did not answer it. */
constexpr std::chrono::milliseconds least_telling_time{100};
constexpr std::string_view deadline_header = "x-savorywheel-deadline-ms";
constexpr std::string_view outcome_header = "x-savorywheel-outcome";
constexpr std::array<std::string_view, 9> hop_by_hop_headers{
    "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "TE",
    "Trailer",    "Upgrade",    "Proxy-Connection",  deadline_header};

void drop_hop_by_hop(std::vector<http_header>& headers)
{
    std::erase_if(headers, [](const http_header& header) {
        return std::ranges::any_of(hop_by_hop_headers, [&header](std::string_view name) {
            return equal_ignoring_case(name, header.name);
        });
    });
}

service_name service_of(const http_request& request)
{
    const auto host = find_header(request.headers, "Host");
    return service_name{host.substr(0, host.find(':'))};
}

std::chrono::milliseconds deadline_of(const http_request& request, const route_spec& route)
{
    const auto text = find_header(request.headers, deadline_header);
    std::int64_t asked{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), asked);
    if (error != std::errc{} || end != text.data() + text.size() || asked <= 0) {
        return route.deadline;
    }
    return std::min(route.deadline, std::chrono::milliseconds{asked});
}

http_response refuse(int status, std::string_view reason)
{
    return {status,
            {{std::string{outcome_header}, "not-run"}, {"Content-Type", "text/plain"}},
            fmt::format("{}\n", reason)};
}

} // namespace

http_response proxy_handler::handle(const http_request& request)
{
    cancellation never;
    return handle_until_cancelled(request, never);
}

http_response proxy_handler::handle_until_cancelled(const http_request& request, cancellation& stop)
{
    const auto started = environment_.time.now();
    const auto service = service_of(request);
    plan item;
    item.routes = environment_.tables.current()->find(service);
    if (!item.routes) {
        return refuse(status_not_found, fmt::format("no service \"{}\"", service.str()));
    }
    item.route = item.routes->match(request.target);
    if (item.route == nullptr) {
        return refuse(status_not_found, fmt::format("no route for {}", request.target));
    }
    item.call.service = service;
    item.call.idempotent = item.route->idempotent;
    item.call.request = request;
    drop_hop_by_hop(item.call.request.headers);
    item.stop = &stop;
    item.deadline = started + deadline_of(request, *item.route);
    environment_.metrics.count("calls") += 1;
    auto response = execute(item);
    environment_.metrics.latency("call").record(environment_.time.now() - started);
    return response;
}

http_response proxy_handler::execute(plan& item)
{
    environment_.retries.earn(item.call.service);
    std::vector<node_id> tried;
    bool may_have_run = false;
    while (true) {
        auto outcome = attempt(item, tried);
        may_have_run = may_have_run || outcome.result == call_result::unknown;
        const bool may_repeat =
            (outcome.result == call_result::not_run && outcome.refusal != call_refusal::crashing) ||
            (outcome.result == call_result::unknown && item.call.idempotent);
        if (!may_repeat || item.stop->cancelled() || environment_.time.now() >= item.deadline ||
            tried.size() >= item.routes->endpoints.size() ||
            !environment_.retries.spend(item.call.service)) {
            if (may_have_run && outcome.result == call_result::not_run) {
                outcome.result = call_result::unknown;
            }
            return conclude(item, std::move(outcome));
        }
        environment_.metrics.count("retries") += 1;
    }
}

call_response proxy_handler::attempt(plan& item, std::vector<node_id>& tried)
{
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
        item.deadline - environment_.time.now());
    if (remaining.count() <= 0) {
        return call_response::not_run(call_refusal::expired, "the deadline passed");
    }
    const auto version = environment_.versions.choose(*item.routes);
    if (!version) {
        return call_response::not_run(call_refusal::absent, "no backend server is known");
    }
    const auto* endpoint = environment_.endpoints.choose(item.routes->endpoints, *version, tried);
    if (endpoint == nullptr) {
        return call_response::not_run(call_refusal::absent, "every backend server refused");
    }
    item.call.version = *version;
    item.call.remaining = remaining;
    tried.push_back(endpoint->node);
    environment_.loads.begin(endpoint->node);
    const auto sent_at = environment_.time.now();
    auto outcome = environment_.transport.call_until_cancelled(endpoint->peer, item.call,
                                                               item.deadline, *item.stop);
    environment_.loads.end(endpoint->node);
    if (!item.stop->cancelled()) {
        note(endpoint->node, item.call, outcome);
        environment_.observer.on_attempt(
            {item.call.service, *version, item.route->path, endpoint->node, endpoint->region,
             outcome.result, outcome.response.status, environment_.time.now() - sent_at});
    }
    return outcome;
}

void proxy_handler::note(const node_id& endpoint, const call_request& call,
                         const call_response& outcome)
{
    switch (outcome.refusal) {
    case call_refusal::none:
        if (outcome.result == call_result::answered) {
            environment_.health.answered(endpoint);
        }
        else if (call.remaining >= least_telling_time) {
            environment_.health.failed(endpoint);
        }
        break;
    case call_refusal::overload:
        environment_.health.overloaded(endpoint);
        break;
    case call_refusal::leaving:
    case call_refusal::wrong_version:
        environment_.health.leaving(endpoint);
        break;
    case call_refusal::absent:
        environment_.health.failed(endpoint);
        break;
    case call_refusal::expired:
    case call_refusal::crashing:
        break;
    }
}

http_response proxy_handler::conclude(const plan& item, call_response outcome)
{
    if (outcome.result == call_result::answered) {
        drop_hop_by_hop(outcome.response.headers);
        return std::move(outcome.response);
    }
    const bool not_run = outcome.result == call_result::not_run;
    environment_.metrics.count(not_run ? "calls_not_run" : "calls_unknown") += 1;
    environment_.log.write(
        not_run ? event_id::call_not_run : event_id::call_outcome_unknown,
        fmt::format("{}{}: {}", item.call.service.str(), item.call.request.target, outcome.reason));
    return {not_run ? status_unavailable : status_bad_gateway,
            {{std::string{outcome_header}, std::string{to_string(outcome.result)}},
             {"Content-Type", "text/plain"}},
            outcome.reason + "\n"};
}

} // namespace savorywheel
