#ifndef SAVORYWHEEL_NODE_OWN_FRONT_END_HPP
#define SAVORYWHEEL_NODE_OWN_FRONT_END_HPP

#include <savorywheel/node/front_end.hpp>
#include <savorywheel/traffic/plain_caller_dialect.hpp>
#include <savorywheel/traffic/plain_server_dialect.hpp>

namespace savorywheel {

/** @brief The native interfaces of the mesh: ordered log, HTTP headers and HTTP store. */
class own_front_end final : public front_end {
public:
    /** @return The default front end. */
    [[nodiscard]] static const own_front_end& instance();

    [[nodiscard]] const caller_dialect& callers() const noexcept override { return callers_; }
    [[nodiscard]] const server_dialect& servers() const noexcept override { return servers_; }
    [[nodiscard]] std::unique_ptr<object_store>
    make_store(http_client& client, const network_endpoint& server) const override;
    [[nodiscard]] const configuration_decoder* configuration() const noexcept override
    {
        return nullptr;
    }
    [[nodiscard]] const order_codec* orders() const noexcept override { return nullptr; }
    [[nodiscard]] std::unique_ptr<http_handler> make_announcements(node_view& view) const override;

private:
    plain_caller_dialect callers_;
    plain_server_dialect servers_;
};

} // namespace savorywheel

#endif
