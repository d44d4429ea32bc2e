#ifndef SAVORYWHEEL_STANDIN_NODE_REGION_DELAY_LINKS_HPP
#define SAVORYWHEEL_STANDIN_NODE_REGION_DELAY_LINKS_HPP

#include <savorywheel/node/link_decorator.hpp>
#include <savorywheel/settings/node_settings.hpp>

#include <standin/node/delayed_executor.hpp>
#include <standin/node/delayed_frame_handler.hpp>
#include <standin/node/delayed_object_store.hpp>

#include <memory>
#include <string>

namespace savorywheel::standin {

/**
 * @brief Delays traffic from other regions, which differ in the third octet of the IPv4 address.
 *
 * Delays frames, datagrams and calls to the metadata store, but not the heartbeats of streams.
 */
class region_delay_links final : public link_decorator {
public:
    /**
     * @param settings Settings of the node.
     * @param delay One-way delay between regions.
     */
    region_delay_links(const node_settings& settings, duration delay);

    [[nodiscard]] frame_handler& frames(frame_handler& inner) override;
    [[nodiscard]] datagram_handler datagrams(datagram_handler inner) override;
    [[nodiscard]] object_store& store(object_store& inner) override;
    void stop() override { executor_.stop(); }

private:
    std::string region_;
    std::string store_region_;
    duration delay_;
    std::unique_ptr<delayed_frame_handler> frames_;
    std::unique_ptr<delayed_object_store> store_;
    delayed_executor executor_;
};

} // namespace savorywheel::standin

#endif
