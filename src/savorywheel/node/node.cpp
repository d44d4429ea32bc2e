#include <savorywheel/admin/admin_handler.hpp>
#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/core/system_clock_source.hpp>
#include <savorywheel/core/thread_name.hpp>
#include <savorywheel/http/async_http_server.hpp>
#include <savorywheel/http/curl_http_client.hpp>
#include <savorywheel/http/http_server.hpp>
#include <savorywheel/http/immediate_http_handler.hpp>
#include <savorywheel/io/io_loop.hpp>
#include <savorywheel/metrics/process_metric_source.hpp>
#include <savorywheel/metrics/region_byte_meter.hpp>
#include <savorywheel/node/caller_limit_publisher.hpp>
#include <savorywheel/node/caller_metric_source.hpp>
#include <savorywheel/node/control_plane.hpp>
#include <savorywheel/node/node.hpp>
#include <savorywheel/node/node_http_limits.hpp>
#include <savorywheel/node/node_metric_source.hpp>
#include <savorywheel/node/readiness_handler.hpp>
#include <savorywheel/node/stop_schedule.hpp>
#include <savorywheel/node/traffic_server_limits.hpp>
#include <savorywheel/quota/shared_quota.hpp>
#include <savorywheel/routing/ejection_aware_version_selector.hpp>
#include <savorywheel/routing/locality_endpoint_selector.hpp>
#include <savorywheel/routing/weighted_version_selector.hpp>
#include <savorywheel/store/metered_object_store.hpp>
#include <savorywheel/traffic/http_rejection_log.hpp>
#include <savorywheel/traffic/peer_call_transport.hpp>
#include <savorywheel/traffic/peer_crash_reporter.hpp>
#include <savorywheel/traffic/proxy_handler.hpp>
#include <savorywheel/transport/asio_datagram_channel.hpp>
#include <savorywheel/transport/asio_peer_network.hpp>
#include <savorywheel/transport/frame_router.hpp>
#include <savorywheel/transport/protocol_error_logger.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <future>
#include <random>
#include <thread>
#include <utility>

namespace savorywheel {

namespace {

std::uint64_t random_seed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

} // namespace

/** Components of a node; the member order is the order of construction. */
class node::components {
public:
    components(node_settings settings, event_log& log, link_decorator& links,
               const front_end& front)
        : settings_{std::move(settings)}, log_{log}, links_{links}, front_{front}
    {
        loop_.set_error_listener(on_task_error_);
        tables_.set_listener(caller_limits_);
        metrics_.add_source(process_metrics_);
        metrics_.add_source(state_metrics_);
        metrics_.add_source(quota_metrics_);
        quota_.connect(control_.quotas());
        metrics_.add_source(caller_metrics_);
        router_.add({frame_kind::call_request, frame_kind::call_cancel, frame_kind::crash_reports},
                    gate_);
        router_.add({frame_kind::call_response, frame_kind::crash_acknowledged,
                     frame_kind::commit_batch, frame_kind::membership_full,
                     frame_kind::floor_stored, frame_kind::floor_value, frame_kind::head_value,
                     frame_kind::configuration_value, frame_kind::departure_copied},
                    requests_);
        router_.add({frame_kind::head_get}, control_.heads());
        router_.add({frame_kind::membership_sync}, control_.membership());
        if (auto* documents = control_.documents()) {
            router_.add({frame_kind::configuration_get}, *documents);
        }
        if (auto* departures = control_.departures()) {
            router_.add({frame_kind::departure_copy}, *departures);
        }
        router_.add({frame_kind::evidence_report, frame_kind::withdrawal_push},
                    control_.rollouts());
        router_.add({frame_kind::commit_push, frame_kind::commit_fetch}, control_.distribution());
        router_.add({}, reporter_);
        router_.add({frame_kind::floor_put, frame_kind::floor_get}, control_.floors());
    }

    outcome<bool> start()
    {
        if (keys_.limit() && front_.configuration() == nullptr) {
            return failure{failure_code::invalid_argument,
                           "key_confirmation_limit_ms is only for a mesh whose operators keep the "
                           "configuration in one object; with the ordered log, nothing proves how "
                           "recent the keys of a node are"};
        }
        traffic_loop_.start("traffic");
        auto started = network_.start(settings_.peer);
        if (started) {
            started = datagrams_.start(settings_.peer,
                                       links_.datagrams([this](const network_endpoint& /*sender*/,
                                                               std::span<const std::byte> payload) {
                                           const auto queued = control_.on_datagram(payload);
                                           if (!queued) {
                                               reporter_.on_rejected_datagram(queued.reason());
                                           }
                                       }));
        }
        if (started) {
            started = admin_server_.start(settings_.admin);
        }
        if (started) {
            started = proxy_server_.start(settings_.traffic);
        }
        if (started && announcement_server_ && settings_.announcements) {
            started = announcement_server_->start(*settings_.announcements);
        }
        if (started && settings_.readiness) {
            started = readiness_server_.start(*settings_.readiness);
        }
        if (started) {
            loop_.post([this] { control_.start(); });
            control_thread_ = std::thread{[this] {
                set_thread_name("control");
                loop_.run();
            }};
            log_.write(event_id::process_started, settings_.name.str());
        }
        else {
            stop_traffic();
        }
        return started;
    }

    void reload(const node_settings& settings)
    {
        log_.write(event_id::settings_reloaded, settings.name.str());
        retries_.set_limits(settings.retries);
    }

    void stop()
    {
        if (!control_thread_.joinable()) {
            return;
        }
        const auto schedule = make_stop_schedule(settings_);
        const auto signalled = time_.now();
        const auto interruption = signalled + schedule.interruption;
        log_.write(event_id::process_stopping,
                   fmt::format("{}: new requests until {} ms, requests in flight until {} ms",
                               settings_.name.str(), schedule.notice.count(),
                               schedule.interruption.count()));
        readiness_.set_stopping();
        proxy_.reject_deadlines_after(interruption);
        gate_.reject_deadlines_after(interruption);
        leave(signalled + schedule.notice);
        proxy_.stop_accepting();
        gate_.stop_accepting();
        proxy_server_.stop(time_until(interruption));
        gate_.stop(time_until(interruption));
        admin_server_.stop();
        if (announcement_server_) {
            announcement_server_->stop();
        }
        store_http_.abort();
        worker_.stop();
        loop_.stop();
        control_thread_.join();
        stop_traffic();
        datagrams_.stop();
        links_.stop();
        log_.write(event_id::process_stopped, settings_.name.str());
    }

private:
    /** Closes all connections, then ends the thread that serves them. */
    void stop_traffic()
    {
        proxy_server_.stop();
        readiness_server_.stop();
        network_.stop();
        traffic_loop_.stop();
    }

    [[nodiscard]] std::chrono::milliseconds time_until(monotonic_time moment) const
    {
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(moment - time_.now());
        return std::max(left, std::chrono::milliseconds::zero());
    }

    /** Leaves the mesh, and waits for the change to reach callers and other nodes. */
    void leave(monotonic_time notice_end)
    {
        std::promise<void> left;
        loop_.post([this, &left] {
            control_.leave();
            left.set_value();
        });
        left.get_future().wait();
        std::this_thread::sleep_for(time_until(notice_end));
    }

    node_settings settings_;
    event_log& log_;
    link_decorator& links_;
    const front_end& front_;
    system_clock_source time_;
    seeded_random random_{random_seed()};
    error_listener on_task_error_{
        [this](std::string_view error) { log_.write(event_id::task_failed, error); }};
    control_loop loop_{time_};
    curl_http_client http_{front_.servers().completeness_rule(), backend_response_limits()};
    curl_http_client store_http_;
    metric_registry metrics_;
    process_metric_source process_metrics_;
    region_byte_meter meter_{settings_.region, metrics_};
    std::unique_ptr<object_store> platform_{front_.make_store(store_http_, settings_.store, log_)};
    metered_object_store store_{links_.store(*platform_), metrics_};
    store_worker worker_{store_};
    protocol_error_logger reporter_{time_, log_};
    frame_router router_;
    request_client requests_;
    io_loop traffic_loop_{time_, on_task_error_};
    asio_peer_network network_{links_.frames(router_), meter_, traffic_loop_};
    asio_datagram_channel datagrams_{meter_};
    routing_table_holder tables_;
    peer_crash_reporter crashes_{tables_, network_, requests_};
    gate gate_{gate::environment{http_, time_, crashes_, log_, settings_.name, front_.servers()}};
    evidence_recorder evidence_{settings_.region};
    version_ejections ejections_;
    retry_budget retries_{settings_.retries};
    quota_metrics quota_metrics_{metrics_, time_};
    shared_quota quota_{settings_.quota.shards,
                        shared_quota::environment{time_, traffic_loop_, quota_metrics_}};
    key_confirmation keys_{settings_.key_confirmation_limit};
    control_plane control_{
        settings_, control_plane::environment{loop_, random_, store_, worker_, datagrams_, network_,
                                              requests_, tables_, gate_, evidence_, ejections_,
                                              meter_, log_, retries_, keys_, front_.configuration(),
                                              front_.orders(), quota_, quota_metrics_}};
    node_metric_source state_metrics_{node_metric_source::environment{
        control_, gate_, retries_, tables_, keys_, time_,
        control_.documents() == nullptr ? nullptr : &control_.documents()->counters()}};
    load_table loads_;
    endpoint_health health_{time_};
    weighted_version_selector weighted_versions_{random_};
    ejection_aware_version_selector versions_{weighted_versions_, ejections_, random_};
    locality_endpoint_selector endpoints_{
        settings_.domain, settings_.region,
        locality_endpoint_selector::environment{loads_, health_, random_, time_}};
    peer_call_transport transport_{
        peer_call_transport::environment{network_, requests_, time_, traffic_loop_}};
    proxy_handler proxy_{proxy_handler::environment{
        time_, tables_, versions_, endpoints_, loads_, health_, retries_, quota_, keys_, transport_,
        evidence_, metrics_, log_, random_, front_.callers(), settings_.caller_service}};
    operator_directory operators_{settings_.operators};
    change_service changes_{change_service::environment{time_, random_, store_, control_}};
    admin_handler admin_{
        admin_handler::environment{control_, changes_, operators_, metrics_, log_}};
    readiness_handler readiness_{tables_, time_};
    std::unique_ptr<http_handler> announcements_{front_.make_announcement_handler(control_, log_)};
    http_rejection_log rejection_log_{log_, time_, metrics_};
    async_http_server proxy_server_{proxy_, traffic_loop_, traffic_server_limits(settings_),
                                    &rejection_log_};
    caller_limit_publisher caller_limits_{proxy_server_, traffic_server_limits(settings_)};
    http_server admin_server_{admin_, admin_limits()};
    immediate_http_handler readiness_responses_{readiness_};
    async_http_server readiness_server_{readiness_responses_, traffic_loop_,
                                        readiness_server_limits(settings_), &rejection_log_};
    caller_metric_source caller_metrics_{proxy_server_, readiness_server_};
    std::unique_ptr<http_server> announcement_server_{
        announcements_ ? std::make_unique<http_server>(*announcements_, announcement_limits())
                       : nullptr};
    std::thread control_thread_;
};

node::node(node_settings settings, event_log& log, link_decorator& links, const front_end& front)
    : components_{std::make_unique<components>(std::move(settings), log, links, front)}
{
}

node::~node()
{
    stop();
}

outcome<bool> node::start()
{
    return components_->start();
}

void node::reload(const node_settings& settings)
{
    components_->reload(settings);
}

void node::stop()
{
    components_->stop();
}

} // namespace savorywheel
