#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/traffic/peer_crash_reporter.hpp>

namespace savorywheel {

void peer_crash_reporter::spread(const crash_report& report)
{
    const auto routes = tables_.current()->find(report.service);
    if (!routes) {
        return;
    }
    const auto bytes = encode(report);
    for (const auto& endpoint : routes->endpoints) {
        if (endpoint.node != report.node) {
            network_.connection_to(endpoint.peer)->send(frame_kind::crash_report, 0, bytes);
        }
    }
}

} // namespace savorywheel
