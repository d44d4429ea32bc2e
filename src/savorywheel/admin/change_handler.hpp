#ifndef SAVORYWHEEL_ADMIN_CHANGE_HANDLER_HPP
#define SAVORYWHEEL_ADMIN_CHANGE_HANDLER_HPP

#include <savorywheel/admin/change_service.hpp>
#include <savorywheel/admin/operator_directory.hpp>
#include <savorywheel/http/http_request.hpp>
#include <savorywheel/http/http_response.hpp>
#include <savorywheel/log/event_log.hpp>

#include <string_view>

namespace savorywheel {

/** @brief Endpoints that change the configuration; all require an operator's key. */
class change_handler {
public:
    /**
     * @param changes Submits changes; must outlive the handler.
     * @param operators Authenticates operators; must outlive the handler.
     * @param log Must outlive the handler.
     */
    change_handler(change_service& changes, const operator_directory& operators,
                   event_log& log) noexcept
        : changes_{changes}, operators_{operators}, log_{log}
    {
    }

    /** @brief Applies the configuration text in the body. */
    [[nodiscard]] http_response apply(const http_request& request);

    /** @brief Sets an override on a service; the body is an override_request. */
    [[nodiscard]] http_response set_override(const http_request& request, std::string_view service);

    /** @brief Releases the override of a service; the body gives the reason. */
    [[nodiscard]] http_response release_override(const http_request& request,
                                                 std::string_view service);

    /** @brief Determines the final outcome of an operation. */
    [[nodiscard]] http_response settle(const http_request& request, std::string_view operation);

private:
    [[nodiscard]] outcome<change_metadata> read_metadata(const http_request& request);
    [[nodiscard]] http_response refuse(const http_request& request, const failure& reason);
    [[nodiscard]] http_response respond(const change_report& report,
                                        const change_metadata& metadata);

    change_service& changes_;
    const operator_directory& operators_;
    event_log& log_;
};

} // namespace savorywheel

#endif
