#ifndef SAVORYWHEEL_NODE_HEAD_SERVICE_HPP
#define SAVORYWHEEL_NODE_HEAD_SERVICE_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/routing/routing_table_holder.hpp>
#include <savorywheel/transport/frame_handler.hpp>
#include <savorywheel/transport/peer_network.hpp>
#include <savorywheel/transport/request_client.hpp>

#include <chrono>
#include <map>
#include <span>

namespace savorywheel {

/**
 * @brief Reports this node's head to peers and queries peers for theirs.
 *
 * The head of a node is the configuration version of the routing table that it uses.
 */
class head_service final : public frame_handler {
public:
    /** @brief Head of each node, keyed by its peer endpoint. */
    using heads = std::map<network_endpoint, config_version>;

    /**
     * @param tables Routing table in force; must outlive the service.
     * @param network Stream connections to peers; must outlive the service.
     * @param requests Sends requests to peers; must outlive the service.
     */
    head_service(const routing_table_holder& tables, peer_network& network,
                 request_client& requests) noexcept
        : tables_{tables}, network_{network}, requests_{requests}
    {
    }

    /**
     * @brief Queries peers and blocks; do not call on the control thread.
     * @param peers Peers to query.
     * @param timeout Maximum wait.
     * @return Heads of the peers that responded in time.
     */
    [[nodiscard]] heads collect(std::span<const network_endpoint> peers,
                                std::chrono::milliseconds timeout);

    void on_frame(const std::shared_ptr<frame_sink>& connection, frame_kind kind,
                  std::uint64_t correlation, std::span<const std::byte> payload) override;
    void on_closed(const frame_sink& connection, bool established) override;

private:
    const routing_table_holder& tables_;
    peer_network& network_;
    request_client& requests_;
};

} // namespace savorywheel

#endif
