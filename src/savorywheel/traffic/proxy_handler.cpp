#include <savorywheel/routing/share_choice.hpp>
#include <savorywheel/routing/spill_version.hpp>
#include <savorywheel/traffic/proxy_handler.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace savorywheel {

namespace {

/** A call that had less time says nothing about the endpoint that did not answer it. */
constexpr std::chrono::milliseconds least_telling_time{100};
/** Time after which a node that has just started is likely to have a configuration. */
constexpr std::chrono::milliseconds configuration_wait{300};
/** Time in which a node that stops has usually been replaced or started again. */
constexpr std::chrono::milliseconds restart_wait{500};
/** One refusal may be bad luck of the choice; after two, the version is likely to be full. */
constexpr std::size_t refusals_to_spill = 2;
constexpr std::array<std::string_view, 8> hop_by_hop_headers{
    "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length",
    "TE",         "Trailer",    "Upgrade",           "Proxy-Connection"};

bool is_hop_by_hop(const http_header& header)
{
    return std::ranges::any_of(hop_by_hop_headers, [&header](std::string_view name) {
        return equal_ignoring_case(name, header.name);
    });
}

void drop_hop_by_hop(std::vector<http_header>& headers)
{
    std::erase_if(headers, is_hop_by_hop);
}

std::chrono::milliseconds deadline_of(const caller_terms& terms, const host_route& route)
{
    return terms.patience ? std::min(route.timeout, *terms.patience) : route.timeout;
}

bool is_want_of_room(call_refusal refusal)
{
    return refusal == call_refusal::overload || refusal == call_refusal::silent ||
           refusal == call_refusal::absent;
}

rejection not_run(std::string reason)
{
    return {rejection_kind::not_run, std::move(reason), std::nullopt};
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
    const auto terms = environment_.dialect.read(request);
    plan item;
    item.call.request_id = terms.request_id;
    item.stop = &stop;
    item.call.request = request;
    if (const auto why = find_route(request, item)) {
        return reject(item, *why);
    }
    item.call.idempotent = item.route->kind == route_kind::idempotent;
    drop_hop_by_hop(item.call.request.headers);
    environment_.dialect.forward(item.call.request);
    item.call.priority = item.route->priority;
    item.started = started;
    item.deadline = started + deadline_of(terms, *item.route);
    environment_.metrics.count("calls") += 1;
    auto response = execute(item);
    environment_.metrics.latency("call").record(environment_.time.now() - started);
    return response;
}

std::optional<rejection> proxy_handler::find_route(const http_request& request, plan& item)
{
    if (refusing_) {
        auto why = not_run("this node stops");
        why.retry_after = restart_wait;
        return why;
    }
    item.table = environment_.tables.current();
    if (item.table->version() == config_version{}) {
        auto why = not_run("this node has no configuration yet");
        why.retry_after = configuration_wait;
        return why;
    }
    const auto host = find_header(request.headers, "Host");
    item.route = item.table->match(host, request.target);
    if (item.route == nullptr) {
        return rejection{rejection_kind::no_route,
                         fmt::format("no route for {}{}", host, request.target), std::nullopt};
    }
    const auto* service = choose_by_share(item.route->shares, environment_.random);
    item.routes = service == nullptr ? nullptr : item.table->find(*service);
    if (!item.routes) {
        return not_run("the route leads to no known service");
    }
    item.call.service = *service;
    return std::nullopt;
}

http_response proxy_handler::execute(plan& item)
{
    environment_.retries.earn(item.call.service);
    const auto* endpoint = next_endpoint(item);
    if (endpoint == nullptr) {
        auto none = call_response::not_run(call_refusal::absent, "no backend server is known");
        none.retry_after = configuration_wait;
        return conclude(item, std::move(none));
    }
    bool may_have_run = false;
    while (true) {
        auto outcome = attempt(item, *endpoint);
        may_have_run = may_have_run || outcome.result == call_result::unknown;
        item.refusals += is_want_of_room(outcome.refusal) ? 1 : 0;
        endpoint = outcome.result == call_result::answered ? nullptr : next_endpoint(item);
        if (endpoint == nullptr || !may_repeat(item, outcome)) {
            if (may_have_run && outcome.result == call_result::not_run) {
                outcome.result = call_result::unknown;
            }
            return conclude(item, std::move(outcome));
        }
        environment_.metrics.count("retries") += 1;
        note_repetition(item, outcome);
    }
}

/** The next backend server to try; nullptr if all were tried. */
const route_endpoint* proxy_handler::next_endpoint(plan& item)
{
    const auto bytes = item.call.request.body.size();
    const auto& endpoints = item.routes->endpoints;
    auto version = environment_.versions.choose(*item.routes);
    const auto* found =
        version ? environment_.endpoints.choose(endpoints, *version, item.tried, bytes) : nullptr;
    if (found == nullptr || item.refusals >= refusals_to_spill) {
        if (const auto other = spill_version(*item.routes, environment_.random)) {
            if (const auto* spare =
                    environment_.endpoints.choose(endpoints, *other, item.tried, bytes)) {
                found = spare;
                version = other;
            }
        }
    }
    if (found != nullptr) {
        item.call.version = *version;
    }
    return found;
}

bool proxy_handler::may_repeat(const plan& item, const call_response& outcome)
{
    const bool lasting =
        outcome.refusal == call_refusal::crashing || outcome.refusal == call_refusal::expired;
    const bool allowed = (outcome.result == call_result::not_run && !lasting) ||
                         (outcome.result == call_result::unknown && item.call.idempotent);
    if (!allowed || item.stop->cancelled() || environment_.time.now() >= item.deadline) {
        return false;
    }
    const auto limit = item.route->max_attempts;
    if (limit != 0 && item.servers_reached >= limit) {
        return false;
    }
    // Only what reaches a second backend server costs backend servers anything.
    return item.servers_reached == 0 || environment_.retries.spend(item.call.service);
}

call_response proxy_handler::attempt(plan& item, const route_endpoint& endpoint)
{
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
        item.deadline - environment_.time.now());
    if (remaining.count() <= 0) {
        return call_response::not_run(call_refusal::expired, "the deadline passed");
    }
    item.call.remaining = remaining;
    item.call.preferred = std::chrono::duration_cast<std::chrono::milliseconds>(
        item.started + item.route->target_latency - environment_.time.now());
    item.tried.push_back(endpoint.node);
    environment_.loads.begin(endpoint.node);
    const auto sent_at = environment_.time.now();
    auto outcome = environment_.transport.call_until_cancelled(endpoint.peer, item.call,
                                                               item.deadline, *item.stop);
    environment_.loads.end(endpoint.node);
    if (outcome.load) {
        environment_.loads.report(endpoint.node, *outcome.load, environment_.time.now());
    }
    item.servers_reached += outcome.reached_server ? 1 : 0;
    if (!item.stop->cancelled()) {
        note(endpoint.node, item.call, outcome);
        environment_.observer.on_attempt(
            {item.call.service, item.call.version, item.route->path, endpoint.node, endpoint.region,
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
    case call_refusal::silent:
        environment_.health.unreachable(endpoint);
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
        auto fields = fields_of(item);
        fields.push_back({"status", std::to_string(outcome.response.status)});
        journal_.write_sampled(event_id::call_answered, item.call.request_id,
                               item.call.service.str(), fields);
        return std::move(outcome.response);
    }
    rejection why{rejection_kind::unknown, std::move(outcome.reason), outcome.retry_after};
    if (outcome.result == call_result::not_run) {
        why.kind = rejection_kind::not_run;
    }
    else if (environment_.time.now() >= item.deadline) {
        why.kind = rejection_kind::expired;
    }
    return reject(item, why);
}

http_response proxy_handler::reject(const plan& item, const rejection& why)
{
    const bool unknown = why.kind == rejection_kind::unknown || why.kind == rejection_kind::expired;
    environment_.metrics.count(unknown ? "calls_unknown" : "calls_not_run") += 1;
    auto fields = fields_of(item);
    fields.push_back({"status", std::to_string(why.status())});
    if (why.retry_after) {
        fields.push_back({"retry_after_ms", std::to_string(why.retry_after->count())});
    }
    journal_.write(unknown ? event_id::call_outcome_unknown : event_id::call_not_run, why.reason,
                   fields);
    return environment_.dialect.reject(why);
}

/** What decided about a call, with the state that was in force. */
std::vector<log_field> proxy_handler::fields_of(const plan& item) const
{
    std::vector<log_field> fields{{"request", item.call.request_id},
                                  {"target", item.call.request.target}};
    if (item.table) {
        fields.push_back({"state", std::to_string(item.table->version().number)});
    }
    if (item.route == nullptr) {
        return fields;
    }
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        environment_.time.now() - item.started);
    const auto allowed =
        std::chrono::duration_cast<std::chrono::milliseconds>(item.deadline - item.started);
    fields.push_back({"route", item.route->path});
    fields.push_back({"service", item.call.service.str()});
    fields.push_back({"version", item.call.version.str()});
    fields.push_back({"nodes_tried", std::to_string(item.tried.size())});
    fields.push_back({"servers_reached", std::to_string(item.servers_reached)});
    fields.push_back({"node", item.tried.empty() ? std::string{} : item.tried.back().str()});
    fields.push_back({"elapsed_ms", std::to_string(elapsed.count())});
    fields.push_back({"allowed_ms", std::to_string(allowed.count())});
    return fields;
}

void proxy_handler::note_repetition(const plan& item, const call_response& outcome)
{
    auto fields = fields_of(item);
    fields.push_back({"result", std::string{to_string(outcome.result)}});
    journal_.write(event_id::call_repeated, outcome.reason, fields);
}

} // namespace savorywheel
