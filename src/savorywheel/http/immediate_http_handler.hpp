#ifndef SAVORYWHEEL_HTTP_IMMEDIATE_HTTP_HANDLER_HPP
#define SAVORYWHEEL_HTTP_IMMEDIATE_HTTP_HANDLER_HPP

#include <savorywheel/http/async_http_handler.hpp>
#include <savorywheel/http/http_handler.hpp>

namespace savorywheel {

/** @brief Serves a handler that does not block on a traffic thread. */
class immediate_http_handler final : public async_http_handler {
public:
    /** @param handler Must not block; must outlive this object. */
    explicit immediate_http_handler(http_handler& handler) noexcept : handler_{handler} {}

    void start(http_request request, const std::shared_ptr<cancellation>& /*cancel_signal*/,
               responder respond) override
    {
        respond(handler_.handle(request));
    }

private:
    http_handler& handler_;
};

} // namespace savorywheel

#endif
