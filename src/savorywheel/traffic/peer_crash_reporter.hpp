#ifndef SAVORYWHEEL_TRAFFIC_PEER_CRASH_REPORTER_HPP
#define SAVORYWHEEL_TRAFFIC_PEER_CRASH_REPORTER_HPP

#include <savorywheel/routing/routing_table_holder.hpp>
#include <savorywheel/traffic/crash_reporter.hpp>
#include <savorywheel/transport/peer_network.hpp>

namespace savorywheel {

/** @brief Sends crash reports over the streams to all nodes of the service. */
class peer_crash_reporter final : public crash_reporter {
public:
    /**
     * @param tables Knows the nodes; must outlive the reporter.
     * @param network Streams; must outlive the reporter.
     */
    peer_crash_reporter(const routing_table_holder& tables, peer_network& network) noexcept
        : tables_{tables}, network_{network}
    {
    }

    void spread(const crash_report& report) override;

private:
    const routing_table_holder& tables_;
    peer_network& network_;
};

} // namespace savorywheel

#endif
