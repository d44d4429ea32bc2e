#ifndef SAVORYWHEEL_TRAFFIC_PEER_CRASH_REPORTER_HPP
#define SAVORYWHEEL_TRAFFIC_PEER_CRASH_REPORTER_HPP

#include <savorywheel/routing/routing_table_holder.hpp>
#include <savorywheel/traffic/crash_reporter.hpp>
#include <savorywheel/transport/peer_network.hpp>
#include <savorywheel/transport/request_client.hpp>

namespace savorywheel {

/** @brief Sends crash reports over stream connections to all nodes of the service. */
class peer_crash_reporter final : public crash_reporter {
public:
    /**
     * @param tables Source of the node addresses; must outlive the reporter.
     * @param network Connections; must outlive the reporter.
     * @param requests Matches acknowledgements to reports; must outlive the reporter.
     */
    peer_crash_reporter(const routing_table_holder& tables, peer_network& network,
                        request_client& requests) noexcept
        : tables_{tables}, network_{network}, requests_{requests}
    {
    }

    void broadcast(const crash_report& report) override;

private:
    const routing_table_holder& tables_;
    peer_network& network_;
    request_client& requests_;
};

} // namespace savorywheel

#endif
