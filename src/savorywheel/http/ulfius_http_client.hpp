#ifndef SAVORYWHEEL_HTTP_ULFIUS_HTTP_CLIENT_HPP
#define SAVORYWHEEL_HTTP_ULFIUS_HTTP_CLIENT_HPP

#include <savorywheel/http/http_client.hpp>

namespace savorywheel {

/** @brief HTTP client of ulfius, which opens a connection for each request; for low rates. */
class ulfius_http_client final : public http_client {
public:
    [[nodiscard]] outcome<http_response> send(const network_endpoint& server,
                                              const http_request& request,
                                              std::chrono::milliseconds timeout) override;
};

} // namespace savorywheel

#endif
