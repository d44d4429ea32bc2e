#ifndef SAVORYWHEEL_TRAFFIC_PROXY_HANDLER_HPP
#define SAVORYWHEEL_TRAFFIC_PROXY_HANDLER_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/random_source.hpp>
#include <savorywheel/http/async_http_handler.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/metrics/metric_registry.hpp>
#include <savorywheel/routing/endpoint_health.hpp>
#include <savorywheel/routing/endpoint_selector.hpp>
#include <savorywheel/routing/load_table.hpp>
#include <savorywheel/routing/routing_table_holder.hpp>
#include <savorywheel/routing/version_selector.hpp>
#include <savorywheel/traffic/call_context.hpp>
#include <savorywheel/traffic/call_observer.hpp>
#include <savorywheel/traffic/call_placement.hpp>
#include <savorywheel/traffic/call_transport.hpp>
#include <savorywheel/traffic/caller_header_codec.hpp>
#include <savorywheel/traffic/key_confirmation.hpp>
#include <savorywheel/traffic/proxy_call_log.hpp>
#include <savorywheel/traffic/rejected_key_log.hpp>
#include <savorywheel/traffic/rejection.hpp>
#include <savorywheel/traffic/response_sizes.hpp>
#include <savorywheel/traffic/retry_budget.hpp>
#include <savorywheel/traffic/tenant_quota.hpp>

#include <array>
#include <atomic>
#include <optional>

namespace savorywheel {

/** @brief Proxy for requests of callers: selects an endpoint, sends the call and retries it. */
class proxy_handler final : public async_http_handler {
public:
    /** @brief Dependencies; all must outlive the proxy. */
    struct environment {
        const clock& time;
        /** @brief Source of the current routing table. */
        const routing_table_holder& tables;
        version_selector& versions;
        endpoint_selector& endpoints;
        /** @brief Estimated loads of endpoints; updated with each attempt. */
        load_table& loads;
        /** @brief Passive health checks; updated with each attempt. */
        endpoint_health& health;
        retry_budget& retries;
        /** @brief Quotas of tenants. */
        tenant_quota& quota;
        /** @brief Whether API keys may be accepted. */
        const key_confirmation& keys;
        /** @brief Sends calls to other nodes. */
        call_transport& transport;
        /** @brief Receives the outcome of each attempt. */
        call_observer& observer;
        metric_registry& metrics;
        event_log& log;
        random_source& random;
        /** @brief Header fields between callers and the mesh. */
        const caller_header_codec& header_codec;
        /** @brief Service on this VM, from which the requests originate; empty if unknown. */
        service_name caller{};
    };

    /** @param env Dependencies. */
    explicit proxy_handler(environment env);

    /** @brief Rejects new requests from now on; requests in flight are completed. */
    void stop_accepting() noexcept { draining_ = true; }

    /**
     * @brief Rejects new requests whose deadline is later, since this node stops before it.
     * @param limit When calls in progress are interrupted; thread-safe.
     */
    void reject_deadlines_after(monotonic_time limit) noexcept { latest_deadline_ = limit; }

    void start(http_request request, const std::shared_ptr<cancellation>& cancel_signal,
               responder respond) override;

private:
    using counter = metric_registry::counter;
    using context_pointer = std::shared_ptr<call_context>;

    [[nodiscard]] std::optional<rejection> find_route(call_context& context);
    /**
     * Identifies the tenant by the API key that the request states.
     * @param keys_confirmed Whether keys could be accepted before the routing table was taken.
     */
    [[nodiscard]] std::optional<rejection>
    authorize(call_context& context, std::optional<std::string_view> key, bool keys_confirmed);
    /** Executes the call if the quota of its tenant allows it. */
    void execute_within_quota(const context_pointer& context);
    void execute(const context_pointer& context);
    [[nodiscard]] const route_endpoint* next_endpoint(call_context& context);
    /** @return An endpoint of the old version during a rollout move; nullptr if there is none. */
    [[nodiscard]] const route_endpoint* spillover_endpoint(call_context& context);
    [[nodiscard]] const route_endpoint* select(call_context& context,
                                               const std::optional<version_name>& version);
    void attempt(const context_pointer& context, const route_endpoint& endpoint);
    void record_attempt(call_context& context, const route_endpoint& endpoint,
                        const call_response& outcome, const sent_call& sent);
    /** Retries the call at another endpoint, or responds to the caller. */
    void complete_attempt(const context_pointer& context, call_response outcome);
    [[nodiscard]] bool may_retry(const call_context& context, const call_response& outcome);
    void record_outcome(const node_id& endpoint, const call_request& call,
                        const call_response& outcome);
    void finish(const call_context& context, call_response outcome);
    void reject(const call_context& context, const rejection& cause);

    environment environment_;
    counter& calls_;
    counter& retries_;
    counter& calls_not_run_;
    counter& calls_unknown_;
    std::array<counter*, rejection_kind_count> rejections_{};
    latency_recorder& latency_;
    proxy_call_log call_log_;
    rejected_key_log key_log_;
    /** Used on the traffic thread only. */
    response_sizes response_sizes_;
    /** Used on the traffic thread only. */
    call_placement placement_;
    std::atomic<bool> draining_{};
    std::atomic<monotonic_time> latest_deadline_{monotonic_time::max()};
};

} // namespace savorywheel

#endif
