#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/traffic/crash_reports.hpp>
#include <savorywheel/traffic/peer_crash_reporter.hpp>

#include <condition_variable>
#include <memory>
#include <mutex>

namespace savorywheel {

namespace {

/** The caller of the crashed call waits for this time, too. */
constexpr std::chrono::milliseconds acknowledgement_timeout{300};

/** Number of gates that have not acknowledged the report yet. */
struct pending_acknowledgements {
    std::mutex mutex;
    std::condition_variable changed;
    std::size_t count{};
};

} // namespace

void peer_crash_reporter::broadcast(const crash_report& report)
{
    const auto routes = tables_.current()->find(report.service);
    if (!routes) {
        return;
    }
    const auto bytes = encode(crash_reports{{report}});
    const auto pending = std::make_shared<pending_acknowledgements>();
    for (const auto& endpoint : routes->endpoints) {
        if (endpoint.node == report.node) {
            continue;
        }
        {
            const std::scoped_lock lock{pending->mutex};
            ++pending->count;
        }
        requests_.submit(network_.connection_to(endpoint.peer), frame_kind::crash_reports, bytes,
                         [pending](const request_client::response& /*noted*/) {
                             const std::scoped_lock lock{pending->mutex};
                             --pending->count;
                             pending->changed.notify_one();
                         });
    }
    std::unique_lock lock{pending->mutex};
    pending->changed.wait_for(lock, acknowledgement_timeout,
                              [&pending] { return pending->count == 0; });
}

} // namespace savorywheel
