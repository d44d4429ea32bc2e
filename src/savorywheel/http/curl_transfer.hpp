#ifndef SAVORYWHEEL_HTTP_CURL_TRANSFER_HPP
#define SAVORYWHEEL_HTTP_CURL_TRANSFER_HPP

#include <savorywheel/core/network_endpoint.hpp>
#include <savorywheel/core/outcome.hpp>
#include <savorywheel/http/byte_budget.hpp>
#include <savorywheel/http/cancellation.hpp>
#include <savorywheel/http/http_client_limits.hpp>
#include <savorywheel/http/http_request.hpp>
#include <savorywheel/http/http_response.hpp>
#include <savorywheel/http/response_framing.hpp>
#include <savorywheel/http/response_head.hpp>

#include <curl/curl.h>

#include <chrono>
#include <string>
#include <string_view>

namespace savorywheel {

/** @brief A libcurl handle with its persistent connection; not thread-safe. */
class curl_transfer {
public:
    /**
     * @param framing How the end of a response must be marked.
     * @param limits Limits of each response.
     * @param buffered Memory for bodies; must outlive the transfer.
     */
    curl_transfer(response_framing framing, const http_client_limits& limits,
                  byte_budget& buffered);
    curl_transfer(const curl_transfer&) = delete;
    curl_transfer& operator=(const curl_transfer&) = delete;
    curl_transfer(curl_transfer&&) = delete;
    curl_transfer& operator=(curl_transfer&&) = delete;
    ~curl_transfer();

    /** @copydoc http_client::send_until_cancelled */
    [[nodiscard]] outcome<http_response> perform(const network_endpoint& server,
                                                 const http_request& request,
                                                 std::chrono::milliseconds timeout,
                                                 cancellation& cancel_signal);

    /** @copydoc http_client::accepts_connections */
    [[nodiscard]] static bool accepts_connections(const network_endpoint& server);

private:
    /** Runs the transfer until completion or cancellation; polls its sockets with libcurl. */
    [[nodiscard]] CURLcode run(cancellation& cancel_signal);
    void set_request(const http_request& request, const std::string& url,
                     std::chrono::milliseconds timeout);
    void set_connection();
    [[nodiscard]] static curl_slist* make_fields(const http_request& request);
    [[nodiscard]] outcome<http_response> make_result(CURLcode result);
    /** True if the response ended in the way that its framing requires. */
    [[nodiscard]] bool is_complete() const;
    /** True if the body has the length that the header states. */
    [[nodiscard]] bool has_whole_body() const;
    /** Prevents libcurl from retrying a request whose reused connection was closed. */
    static int before_request(void* self, char* remote, char* local, int remote_port,
                              int local_port);
    /** Sets TCP_USER_TIMEOUT, which closes a connection whose data stays unacknowledged. */
    static int on_socket(void* self, curl_socket_t socket, curlsocktype purpose);
    /** @return False if the body exceeds its limit or follows no final header. */
    [[nodiscard]] bool add_body(std::string_view bytes);
    static std::size_t on_body(char* data, std::size_t size, std::size_t count, void* self);
    static std::size_t on_header(char* data, std::size_t size, std::size_t count, void* self);

    /** Makes room for more bytes of the body; returns false if the memory for bodies is used up. */
    [[nodiscard]] bool reserve_body(std::size_t bytes);

    response_framing framing_;
    http_client_limits limits_;
    byte_budget& buffered_;
    /** Bytes taken from buffered_ by the current response. */
    std::size_t taken_{};
    CURL* handle_;
    CURLM* multi_;
    http_response response_;
    response_head head_;
    /** Why the response was not read to its end; empty if it was. */
    std::string violation_;
    bool request_sent_{};
    bool head_request_{};
};

} // namespace savorywheel

#endif
