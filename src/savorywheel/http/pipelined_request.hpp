#ifndef SAVORYWHEEL_HTTP_PIPELINED_REQUEST_HPP
#define SAVORYWHEEL_HTTP_PIPELINED_REQUEST_HPP

#include <savorywheel/http/cancellation.hpp>
#include <savorywheel/http/http_request.hpp>
#include <savorywheel/http/http_response.hpp>
#include <savorywheel/http/response_conditions.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace savorywheel {

/** @brief Request of a connection that has no response on the wire yet. */
struct pipelined_request {
    /** @brief Position among the requests of the connection; set by request_pipeline. */
    std::uint64_t id{};
    /** @brief Moved out when the request is started. */
    http_request request;
    /** @brief True if the request's method is safe (RFC 9110, 9.2.1). */
    bool is_safe{};
    response_conditions conditions;
    /** @brief Memory of the request, or of its response once there is one, in bytes. */
    std::size_t memory{};
    /** @brief Cancelled when the caller closes the connection. */
    std::shared_ptr<cancellation> cancel_signal{std::make_shared<cancellation>()};
    /** @brief True once the request was passed to the handler. */
    bool is_started{};
    std::optional<http_response> response;
};

} // namespace savorywheel

#endif
