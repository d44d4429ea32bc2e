#include <savorywheel/http/hop_by_hop.hpp>
#include <savorywheel/routing/share_choice.hpp>
#include <savorywheel/routing/spill_version.hpp>
#include <savorywheel/traffic/proxy_handler.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

/** A missing response to a call with less time is not counted as a failure of the endpoint. */
constexpr std::chrono::milliseconds least_telling_time{100};
/** A node that has just started usually has a configuration after this time. */
constexpr std::chrono::milliseconds configuration_wait{300};
/** A stopping node has usually been replaced or restarted after this time. */
constexpr std::chrono::milliseconds restart_wait{500};
/** A single refusal may be chance; after two, the version is probably at capacity. */
constexpr std::size_t refusals_to_spill = 2;

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

proxy_handler::proxy_handler(environment surroundings)
    : environment_{surroundings}, calls_{surroundings.metrics.count("calls")},
      retries_{surroundings.metrics.count("retries")}, calls_not_run_{surroundings.metrics.count(
                                                           "calls_not_run")},
      calls_unknown_{surroundings.metrics.count("calls_unknown")},
      latency_{surroundings.metrics.latency("call")}, journal_{surroundings.log, surroundings.time}
{
}

http_response proxy_handler::handle(const http_request& request)
{
    cancellation never;
    return handle_until_cancelled(request, never);
}

http_response proxy_handler::handle_until_cancelled(const http_request& request, cancellation& stop)
{
    const auto started = environment_.time.now();
    const auto terms = environment_.dialect.read(request);
    call_plan item;
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
    ++calls_;
    auto response = execute(item);
    latency_.record(environment_.time.now() - started);
    return response;
}

std::optional<rejection> proxy_handler::find_route(const http_request& request, call_plan& item)
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

http_response proxy_handler::execute(call_plan& item)
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
        ++retries_;
        journal_.repeated(item, outcome);
    }
}

/** Returns the next endpoint to try; nullptr if none remains. */
const route_endpoint* proxy_handler::next_endpoint(call_plan& item)
{
    const bool crowded = item.refusals >= refusals_to_spill;
    if (crowded) {
        if (const auto* spare = spare_endpoint(item)) {
            return spare;
        }
    }
    if (const auto* found = choose(item, environment_.versions.choose(*item.routes))) {
        return found;
    }
    return crowded ? nullptr : spare_endpoint(item);
}

const route_endpoint* proxy_handler::spare_endpoint(call_plan& item)
{
    return choose(item, spill_version(*item.routes, environment_.random));
}

const route_endpoint* proxy_handler::choose(call_plan& item,
                                            const std::optional<version_name>& version)
{
    if (!version) {
        return nullptr;
    }
    const auto* found = environment_.endpoints.choose(item.routes->endpoints, *version, item.tried,
                                                      item.call.request.body.size());
    if (found != nullptr) {
        item.call.version = *version;
    }
    return found;
}

bool proxy_handler::may_repeat(const call_plan& item, const call_response& outcome)
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
    // Retries before the first backend server was reached add no load, so they are free.
    return item.servers_reached == 0 || environment_.retries.spend(item.call.service);
}

call_response proxy_handler::attempt(call_plan& item, const route_endpoint& endpoint)
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

http_response proxy_handler::conclude(const call_plan& item, call_response outcome)
{
    if (outcome.result == call_result::answered) {
        drop_hop_by_hop(outcome.response.headers);
        journal_.answered(item, outcome.response.status);
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

http_response proxy_handler::reject(const call_plan& item, const rejection& why)
{
    ++(why.may_have_run() ? calls_unknown_ : calls_not_run_);
    journal_.rejected(item, why);
    return environment_.dialect.reject(why);
}

} // namespace savorywheel
