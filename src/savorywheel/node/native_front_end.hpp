#ifndef SAVORYWHEEL_NODE_NATIVE_FRONT_END_HPP
#define SAVORYWHEEL_NODE_NATIVE_FRONT_END_HPP

#include <savorywheel/node/front_end.hpp>
#include <savorywheel/traffic/default_caller_header_codec.hpp>
#include <savorywheel/traffic/default_server_header_codec.hpp>

namespace savorywheel {

/** @brief The native interfaces of the mesh: ordered log, HTTP headers and HTTP store. */
class native_front_end final : public front_end {
public:
    /** @return The default front end. */
    [[nodiscard]] static const native_front_end& instance();

    [[nodiscard]] const caller_header_codec& callers() const noexcept override { return callers_; }
    [[nodiscard]] const server_header_codec& servers() const noexcept override { return servers_; }
    [[nodiscard]] std::unique_ptr<object_store>
    make_store(http_client& client, const network_endpoint& server, event_log& log) const override;
    [[nodiscard]] const configuration_decoder* configuration() const noexcept override
    {
        return nullptr;
    }
    [[nodiscard]] const order_codec* orders() const noexcept override { return nullptr; }
    [[nodiscard]] std::unique_ptr<http_handler>
    make_announcement_handler(node_control& control, event_log& log) const override;

private:
    default_caller_header_codec callers_;
    default_server_header_codec servers_;
};

} // namespace savorywheel

#endif
