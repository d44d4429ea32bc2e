#ifndef SAVORYWHEEL_HTTP_CURL_HTTP_CLIENT_HPP
#define SAVORYWHEEL_HTTP_CURL_HTTP_CLIENT_HPP

#include <savorywheel/http/byte_budget.hpp>
#include <savorywheel/http/http_client.hpp>
#include <savorywheel/http/http_client_limits.hpp>
#include <savorywheel/http/response_framing.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace savorywheel {

class curl_transfer;

/** @brief HTTP client on libcurl with a pool of persistent connections per server. */
class curl_http_client final : public http_client {
public:
    /**
     * @param framing How the end of a response must be marked.
     * @param limits Limits of each response.
     */
    explicit curl_http_client(response_framing framing = response_framing::explicit_only,
                              http_client_limits limits = {});
    curl_http_client(const curl_http_client&) = delete;
    curl_http_client& operator=(const curl_http_client&) = delete;
    curl_http_client(curl_http_client&&) = delete;
    curl_http_client& operator=(curl_http_client&&) = delete;
    ~curl_http_client() override;

    [[nodiscard]] outcome<http_response> send(const network_endpoint& server,
                                              const http_request& request,
                                              std::chrono::milliseconds timeout) override;
    [[nodiscard]] outcome<http_response> send_until_cancelled(const network_endpoint& server,
                                                              const http_request& request,
                                                              std::chrono::milliseconds timeout,
                                                              cancellation& cancel_signal) override;
    void close_idle(const network_endpoint& server) override;

    /** @brief Cancels send() calls in flight and fails later ones, so that their threads exit. */
    void abort();

    [[nodiscard]] bool accepts_connections(const network_endpoint& server) override;

private:
    [[nodiscard]] std::unique_ptr<curl_transfer> acquire(const network_endpoint& server);
    void release(const network_endpoint& server, std::unique_ptr<curl_transfer> handle);

    response_framing framing_;
    http_client_limits limits_;
    byte_budget buffered_;
    std::mutex mutex_;
    std::map<network_endpoint, std::vector<std::unique_ptr<curl_transfer>>> idle_;
    std::set<cancellation*> in_flight_;
    bool aborted_{};
};

} // namespace savorywheel

#endif
