#ifndef SAVORYWHEEL_APPS_CTL_NODE_CLIENT_HPP
#define SAVORYWHEEL_APPS_CTL_NODE_CLIENT_HPP

#include <savorywheel/http/http_client.hpp>

#include <ctl/common_options.hpp>

#include <string>
#include <string_view>

namespace savorywheel::ctl {

/** @brief Sends the requests of the commands to the administration API of one node. */
class node_client {
public:
    /**
     * @param http Sends the requests; must outlive the client.
     * @param options Options of the command; must outlive the client.
     */
    node_client(http_client& http, const common_options& options) noexcept
        : http_{http}, options_{options}
    {
    }

    /** @return The response to a request; the operator's key is added. */
    [[nodiscard]] outcome<http_response> send(http_request request) const;

    /** @return The response to a GET request. */
    [[nodiscard]] outcome<http_response> get(std::string target) const;

    /** @return The response to a POST request. */
    [[nodiscard]] outcome<http_response> post(std::string target, std::string body) const;

    /** @return The options. */
    [[nodiscard]] const common_options& options() const noexcept { return options_; }

private:
    http_client& http_;
    const common_options& options_;
};

} // namespace savorywheel::ctl

#endif
