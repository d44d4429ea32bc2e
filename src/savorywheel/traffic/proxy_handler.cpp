#include <savorywheel/http/hop_by_hop.hpp>
#include <savorywheel/http/http_status.hpp>
#include <savorywheel/routing/spillover_version.hpp>
#include <savorywheel/routing/weighted_service_selection.hpp>
#include <savorywheel/traffic/proxy_handler.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

/** A missing response to a call with less time is not counted as a failure of the endpoint. */
constexpr std::chrono::milliseconds min_time_to_count_failure{100};
/** A node that has just started usually has a configuration after this time, and a node whose
 * configuration leads nowhere may get a newer one. */
constexpr std::chrono::milliseconds configuration_retry_after{300};
/** A stopping node has usually been replaced or restarted after this time. */
constexpr std::chrono::milliseconds restart_retry_after{500};
/** A node that reaches the store or a member again has usually confirmed its keys by then. */
constexpr std::chrono::milliseconds key_retry_after{500};
/** A single refusal may be chance; after two, the version is probably at capacity. */
constexpr std::size_t refusals_before_spillover = 2;

/**
 * Each refused attempt costs a round trip and bytes, up to 42 ms between regions. After as many
 * refusals for overload as a small service has backend servers, the service as a whole is
 * overloaded, and the caller is told when to come back.
 */
constexpr std::size_t max_overload_refusals = 6;

std::chrono::milliseconds deadline_of(const request_options& options, const host_route& route)
{
    return options.timeout ? std::min(route.timeout, *options.timeout) : route.timeout;
}

bool lacks_capacity(call_refusal refusal)
{
    return refusal == call_refusal::overload || refusal == call_refusal::silent ||
           refusal == call_refusal::absent;
}

} // namespace

proxy_handler::proxy_handler(environment env)
    : environment_{env}, calls_{env.metrics.count("calls")}, retries_{env.metrics.count("retries")},
      calls_not_run_{env.metrics.count("calls_not_run")},
      calls_unknown_{env.metrics.count("calls_unknown")}, latency_{env.metrics.latency("call")},
      call_log_{env.log, env.time}, key_log_{env.log, env.time}, placement_{env.loads, env.metrics}
{
    for (std::size_t i = 0; i < rejection_kind_count; ++i) {
        const std::string cause{label_of(static_cast<rejection_kind>(i))};
        rejections_.at(i) = &env.metrics.count({"rejections", "cause", cause});
    }
}

void proxy_handler::start(http_request request, const std::shared_ptr<cancellation>& cancel_signal,
                          responder respond)
{
    const auto context = std::make_shared<call_context>();
    context->call.request = std::move(request);
    const auto options = environment_.header_codec.read(context->call.request);
    context->started = environment_.time.now();
    context->respond = std::move(respond);
    context->cancel_signal = cancel_signal;
    context->call.request_id = options.request_id;
    context->call.caller = environment_.caller;
    // Read before the routing table is taken, which therefore contains what the time refers to.
    const bool keys_confirmed = environment_.keys.allows(environment_.time);
    if (const auto cause = find_route(*context)) {
        reject(*context, *cause);
        return;
    }
    if (const auto cause = authorize(*context, options.key, keys_confirmed)) {
        reject(*context, *cause);
        return;
    }
    context->deadline = context->started + deadline_of(options, *context->route);
    if (context->deadline > latest_deadline_.load()) {
        reject(*context, {rejection_kind::stopping, "this node stops before the deadline",
                          restart_retry_after});
        return;
    }
    context->call.idempotent = is_idempotent(context->route->kind);
    remove_hop_by_hop_headers(context->call.request.headers);
    environment_.header_codec.rewrite_headers(context->call.request);
    if (context->table->tenants()) {
        environment_.header_codec.set_tenant(context->call.request, context->call.tenant);
    }
    context->call.route = context->route->path;
    context->call.priority = context->route->priority;
    ++calls_;
    execute_within_quota(context);
}

std::optional<rejection> proxy_handler::authorize(call_context& context,
                                                  std::optional<std::string_view> key,
                                                  bool keys_confirmed)
{
    const auto& tenants = context.table->tenants();
    if (!tenants) {
        return std::nullopt;
    }
    if (key && !keys_confirmed && !context.route->is_public) {
        return rejection{rejection_kind::unconfirmed,
                         "this node cannot tell whether the API key is still in force",
                         key_retry_after};
    }
    context.tenant = key ? tenants->find(*key) : nullptr;
    if (context.tenant != nullptr) {
        context.call.tenant = context.tenant->name;
        context.call.tenant_priority = context.tenant->priority;
        context.call.tenant_weight = context.tenant->weight;
        return std::nullopt;
    }
    if (context.route->is_public) {
        return std::nullopt;
    }
    return rejection{rejection_kind::unauthorized,
                     key ? "the API key belongs to no tenant" : "the request has no API key",
                     std::nullopt};
}

void proxy_handler::execute_within_quota(const context_pointer& context)
{
    const auto* tenant = context->tenant;
    if (tenant == nullptr || tenant->rate_per_s <= 0.0) {
        execute(context);
        return;
    }
    context->token = environment_.quota.try_acquire(*tenant);
    if (context->token) {
        execute(context);
        return;
    }
    environment_.quota.acquire(*tenant, [this, context](const quota_decision& decision) {
        switch (decision.outcome) {
        case quota_decision::result::granted:
            context->token = decision.token;
            execute(context);
            break;
        case quota_decision::result::exhausted:
            reject(*context, {rejection_kind::over_quota, "the tenant has used its quota",
                              decision.retry_after});
            break;
        case quota_decision::result::unknown:
            reject(*context,
                   {rejection_kind::quota_unknown,
                    "the quota of the tenant is not known at the moment", decision.retry_after});
            break;
        }
    });
}

std::optional<rejection> proxy_handler::find_route(call_context& context)
{
    const auto& request = context.call.request;
    if (draining_) {
        return rejection{rejection_kind::stopping, "this node stops", restart_retry_after};
    }
    context.table = environment_.tables.current();
    if (context.table->version() == config_version{}) {
        return rejection{rejection_kind::no_configuration, "this node has no configuration yet",
                         configuration_retry_after};
    }
    const auto host = find_header(request.headers, "Host");
    context.route = context.table->match(host, request.target);
    if (context.route == nullptr) {
        return rejection{rejection_kind::no_route,
                         fmt::format("no route for {}{}", host, request.target), std::nullopt};
    }
    const auto* service = select_service_by_weight(context.route->shares, environment_.random);
    context.routes = service == nullptr ? nullptr : context.table->find(*service);
    if (!context.routes) {
        return rejection{rejection_kind::no_service, "the route leads to no known service",
                         configuration_retry_after};
    }
    context.call.service = *service;
    return std::nullopt;
}

void proxy_handler::execute(const context_pointer& context)
{
    environment_.retries.deposit(context->call.service);
    const auto* endpoint = next_endpoint(*context);
    if (endpoint == nullptr) {
        auto none = call_response::not_run(call_refusal::absent, "no backend server is known");
        none.retry_after = configuration_retry_after;
        finish(*context, std::move(none));
        return;
    }
    attempt(context, *endpoint);
}

void proxy_handler::complete_attempt(const context_pointer& context, call_response outcome)
{
    context->may_have_run = context->may_have_run || outcome.result == call_result::unknown;
    context->overload_refusals += outcome.refusal == call_refusal::overload ? 1 : 0;
    context->capacity_refusals += lacks_capacity(outcome.refusal) ? 1 : 0;
    const auto* endpoint =
        outcome.result == call_result::answered ? nullptr : next_endpoint(*context);
    if (endpoint == nullptr || !may_retry(*context, outcome)) {
        if (context->may_have_run && outcome.result == call_result::not_run) {
            outcome.result = call_result::unknown;
        }
        finish(*context, std::move(outcome));
        return;
    }
    ++retries_;
    call_log_.log_retried(*context, outcome);
    attempt(context, *endpoint);
}

/** Returns the next endpoint to try; nullptr if none remains. */
const route_endpoint* proxy_handler::next_endpoint(call_context& context)
{
    const bool spills_over = context.capacity_refusals >= refusals_before_spillover;
    if (spills_over) {
        if (const auto* spillover = spillover_endpoint(context)) {
            return spillover;
        }
    }
    if (const auto* found = select(context, environment_.versions.select(*context.routes))) {
        return found;
    }
    return spills_over ? nullptr : spillover_endpoint(context);
}

const route_endpoint* proxy_handler::spillover_endpoint(call_context& context)
{
    return select(context, spillover_version(*context.routes, environment_.random));
}

const route_endpoint* proxy_handler::select(call_context& context,
                                            const std::optional<version_name>& version)
{
    if (!version) {
        return nullptr;
    }
    const auto target_latency = context.route->target_latency;
    call_profile profile;
    profile.bytes = context.call.request.body.size() +
                    response_sizes_.expected(context.call.service, context.route->path);
    profile.work = placement_.expected(context.call);
    if (target_latency > std::chrono::milliseconds::zero()) {
        profile.target_remaining = context.started + target_latency - environment_.time.now();
    }
    const auto* found = environment_.endpoints.select(context.routes->endpoints, *version,
                                                      context.tried_nodes, profile);
    if (found != nullptr) {
        context.call.version = *version;
    }
    return found;
}

bool proxy_handler::may_retry(const call_context& context, const call_response& outcome)
{
    const bool permanent =
        outcome.refusal == call_refusal::crashing || outcome.refusal == call_refusal::expired;
    const bool allowed = (outcome.result == call_result::not_run && !permanent) ||
                         (outcome.result == call_result::unknown && context.call.idempotent);
    if (!allowed || context.cancel_signal->cancelled() ||
        environment_.time.now() >= context.deadline) {
        return false;
    }
    if (context.overload_refusals >= max_overload_refusals) {
        return false;
    }
    const auto limit = context.route->max_attempts;
    if (limit != 0 && context.servers_reached >= limit) {
        return false;
    }
    // Retries before the first backend server was reached add no load, so they are free.
    return context.servers_reached == 0 || environment_.retries.try_withdraw(context.call.service);
}

void proxy_handler::attempt(const context_pointer& context, const route_endpoint& endpoint)
{
    const auto sent_at = environment_.time.now();
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(context->deadline - sent_at);
    if (remaining.count() <= 0) {
        complete_attempt(context,
                         call_response::not_run(call_refusal::expired, "the deadline passed"));
        return;
    }
    context->call.remaining = remaining;
    const auto target_latency = context->route->target_latency;
    context->call.target_remaining = target_latency > std::chrono::milliseconds::zero()
                                         ? std::chrono::duration_cast<std::chrono::milliseconds>(
                                               context->started + target_latency - sent_at)
                                         : std::chrono::milliseconds::zero();
    context->tried_nodes.push_back(endpoint.node);
    const auto sent = placement_.begin(context->call, endpoint.node, sent_at);
    environment_.transport.call(endpoint.peer, context->call, context->deadline,
                                context->cancel_signal,
                                [this, context, &endpoint, sent](call_response outcome) {
                                    record_attempt(*context, endpoint, outcome, sent);
                                    complete_attempt(context, std::move(outcome));
                                });
}

void proxy_handler::record_attempt(call_context& context, const route_endpoint& endpoint,
                                   const call_response& outcome, const sent_call& sent)
{
    const auto now = environment_.time.now();
    placement_.end(context.call, endpoint.node, sent, outcome, now);
    context.servers_reached += outcome.reached_server ? 1 : 0;
    if (!context.cancel_signal->cancelled()) {
        record_outcome(endpoint.node, context.call, outcome);
        environment_.observer.on_attempt({context.call.service, context.call.version,
                                          context.route->path, endpoint.node, endpoint.region,
                                          outcome.result, outcome.response.status, now - sent.at});
    }
}

void proxy_handler::record_outcome(const node_id& endpoint, const call_request& call,
                                   const call_response& outcome)
{
    switch (outcome.refusal) {
    case call_refusal::none:
        if (outcome.result == call_result::answered) {
            environment_.health.record_success(endpoint);
        }
        else if (call.remaining >= min_time_to_count_failure) {
            environment_.health.record_failure(endpoint);
        }
        break;
    case call_refusal::overload:
        environment_.health.record_overload(endpoint);
        break;
    case call_refusal::leaving:
    case call_refusal::wrong_version:
        environment_.health.record_draining(endpoint);
        break;
    case call_refusal::absent:
    case call_refusal::silent:
        environment_.health.record_unreachable(endpoint);
        break;
    case call_refusal::expired:
    case call_refusal::crashing:
        break;
    }
}

void proxy_handler::finish(const call_context& context, call_response outcome)
{
    latency_.record(environment_.time.now() - context.started);
    if (outcome.result == call_result::answered) {
        if (is_success(outcome.response.status)) {
            response_sizes_.record(context.call.service, context.route->path,
                                   outcome.response.body.size());
        }
        remove_hop_by_hop_headers(outcome.response.headers);
        call_log_.log_answered(context, outcome.response.status);
        context.respond(std::move(outcome.response));
        return;
    }
    rejection cause{rejection_kind::unknown, std::move(outcome.reason), outcome.retry_after};
    if (outcome.result == call_result::not_run) {
        if (context.token) {
            environment_.quota.give_back(*context.tenant, *context.token);
        }
        cause.kind = rejection_kind::not_run;
    }
    else if (environment_.time.now() >= context.deadline) {
        cause.kind = rejection_kind::expired;
    }
    reject(context, cause);
}

void proxy_handler::reject(const call_context& context, const rejection& cause)
{
    ++(cause.may_have_run() ? calls_unknown_ : calls_not_run_);
    ++*rejections_.at(static_cast<std::size_t>(cause.kind));
    if (cause.kind == rejection_kind::unauthorized) {
        key_log_.write(context, cause);
    }
    else {
        call_log_.log_rejected(context, cause);
    }
    context.respond(environment_.header_codec.reject(cause));
}

} // namespace savorywheel
