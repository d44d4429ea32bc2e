#ifndef SAVORYWHEEL_APPS_CTL_NODE_CLIENT_HPP
#define SAVORYWHEEL_APPS_CTL_NODE_CLIENT_HPP

#include <savorywheel/http/http_client.hpp>

#include <ctl/common_options.hpp>

#include <string>
#include <string_view>

namespace savorywheel::ctl {

/** @brief Client of the admin API of one node. */
class node_client {
public:
    /**
     * @param http HTTP client; must outlive this object.
     * @param options Endpoint, operator key and timeout; must outlive this object.
     */
    node_client(http_client& http, const common_options& options) noexcept
        : http_{http}, options_{options}
    {
    }

    /** @brief Sends a request with the operator key added. */
    [[nodiscard]] outcome<http_response> send(http_request request) const;

    [[nodiscard]] outcome<http_response> get(std::string target) const;

    [[nodiscard]] outcome<http_response> post(std::string target, std::string body) const;

    [[nodiscard]] const common_options& options() const noexcept { return options_; }

private:
    http_client& http_;
    const common_options& options_;
};

} // namespace savorywheel::ctl

#endif
