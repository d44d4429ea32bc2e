#ifndef SAVORYWHEEL_HTTP_ASYNC_HTTP_HANDLER_HPP
#define SAVORYWHEEL_HTTP_ASYNC_HTTP_HANDLER_HPP

#include <savorywheel/http/cancellation.hpp>
#include <savorywheel/http/http_request.hpp>
#include <savorywheel/http/http_response.hpp>

#include <functional>
#include <memory>

namespace savorywheel {

/** @brief Handler of HTTP requests that responds later; called on a traffic thread. */
class async_http_handler {
public:
    /** @brief Sends the response; to be called exactly once, on any thread. */
    using responder = std::function<void(http_response)>;

    async_http_handler() = default;
    async_http_handler(const async_http_handler&) = delete;
    async_http_handler& operator=(const async_http_handler&) = delete;
    async_http_handler(async_http_handler&&) = delete;
    async_http_handler& operator=(async_http_handler&&) = delete;
    virtual ~async_http_handler() = default;

    /**
     * @brief Starts to handle a request; must not block.
     * @param cancel_signal Cancelled when the caller closes its connection; the response is then
     * discarded.
     * @param respond May be called before this function returns.
     */
    virtual void start(http_request request, const std::shared_ptr<cancellation>& cancel_signal,
                       responder respond) = 0;
};

} // namespace savorywheel

#endif
