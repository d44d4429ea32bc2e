#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/traffic/peer_crash_reporter.hpp>

#include <condition_variable>
#include <memory>
#include <mutex>

namespace savorywheel {

namespace {

/** The caller of the crashed call waits for this time, too. */
constexpr std::chrono::milliseconds note_limit{300};

/** Number of gates that have not acknowledged the report yet. */
struct open_reports {
    std::mutex mutex;
    std::condition_variable changed;
    std::size_t count{};
};

} // namespace

void peer_crash_reporter::spread(const crash_report& report)
{
    const auto routes = tables_.current()->find(report.service);
    if (!routes) {
        return;
    }
    const auto bytes = encode(report);
    const auto open = std::make_shared<open_reports>();
    for (const auto& endpoint : routes->endpoints) {
        if (endpoint.node == report.node) {
            continue;
        }
        {
            const std::scoped_lock lock{open->mutex};
            ++open->count;
        }
        requests_.submit(network_.connection_to(endpoint.peer), frame_kind::crash_report, bytes,
                         [open](const request_client::answer& /*noted*/) {
                             const std::scoped_lock lock{open->mutex};
                             --open->count;
                             open->changed.notify_one();
                         });
    }
    std::unique_lock lock{open->mutex};
    open->changed.wait_for(lock, note_limit, [&open] { return open->count == 0; });
}

} // namespace savorywheel
