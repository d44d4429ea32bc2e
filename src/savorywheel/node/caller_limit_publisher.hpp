#ifndef SAVORYWHEEL_NODE_CALLER_LIMIT_PUBLISHER_HPP
#define SAVORYWHEEL_NODE_CALLER_LIMIT_PUBLISHER_HPP

#include <savorywheel/config/caller_limits.hpp>
#include <savorywheel/http/caller_limit_target.hpp>
#include <savorywheel/http/http_server_limits.hpp>
#include <savorywheel/routing/routing_table_listener.hpp>

namespace savorywheel {

/** @brief Applies the operators' limits on callers to an HTTP server. */
class caller_limit_publisher final : public routing_table_listener {
public:
    /**
     * @param server Server to apply the limits to; must outlive this object.
     * @param defaults Limits in force where the configuration has none.
     */
    caller_limit_publisher(caller_limit_target& server, const http_server_limits& defaults) noexcept
        : server_{server}, defaults_{defaults}
    {
    }

    void on_table(const routing_table& table) override;

private:
    caller_limit_target& server_;
    http_server_limits defaults_;
    /** Limits last applied. */
    caller_limits applied_;
};

} // namespace savorywheel

#endif
