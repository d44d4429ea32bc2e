#ifndef SAVORYWHEEL_ADMIN_QUERY_HANDLER_HPP
#define SAVORYWHEEL_ADMIN_QUERY_HANDLER_HPP

#include <savorywheel/admin/change_service.hpp>
#include <savorywheel/admin/node_control.hpp>
#include <savorywheel/http/http_request.hpp>
#include <savorywheel/http/http_response.hpp>

namespace savorywheel {

/** @brief Read-only endpoints. */
class query_handler {
public:
    /**
     * @param control Access to the control thread; must outlive the handler.
     * @param changes Checks and returns configuration texts; must outlive the handler.
     */
    query_handler(node_control& control, change_service& changes) noexcept
        : control_{control}, changes_{changes}
    {
    }

    /** @return Findings for which the text in the body would be refused. */
    [[nodiscard]] http_response check(const http_request& request);

    /** @return Changes that the text in the body would make. */
    [[nodiscard]] http_response diff(const http_request& request);

    /** @return The configuration text applied last. */
    [[nodiscard]] http_response text();

    /** @return Status of the mesh: versions, moves and overrides. */
    [[nodiscard]] http_response status();

    /** @return The latest accepted changes. */
    [[nodiscard]] http_response history();

    /** @return The overrides in force. */
    [[nodiscard]] http_response overrides();

    /** @return Internal state of the node. */
    [[nodiscard]] http_response state();

private:
    node_control& control_;
    change_service& changes_;
};

} // namespace savorywheel

#endif
