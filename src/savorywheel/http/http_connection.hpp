#ifndef SAVORYWHEEL_HTTP_HTTP_CONNECTION_HPP
#define SAVORYWHEEL_HTTP_HTTP_CONNECTION_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/subscription.hpp>
#include <savorywheel/http/evictable_caller.hpp>
#include <savorywheel/http/http_server_state.hpp>
#include <savorywheel/http/request_parser.hpp>
#include <savorywheel/http/request_pipeline.hpp>
#include <savorywheel/http/response_message.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/serializer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace savorywheel {

/**
 * @brief Connection of a caller; runs on the loop's thread.
 *
 * Reads ahead while requests are in progress, so that it notices when the caller leaves. A caller
 * that closes only its sending side counts as gone.
 * @warning Include only in source files of this module; the header exposes Boost.Beast.
 */
class http_connection final : public evictable_caller,
                              public std::enable_shared_from_this<http_connection> {
public:
    /** @brief Called once when the connection has closed. */
    using closed_callback = std::function<void(const std::shared_ptr<http_connection>&)>;

    /**
     * @param socket Accepted socket.
     * @param state State of the server; must outlive the connection.
     * @param closed Called when the connection has closed.
     */
    http_connection(boost::asio::ip::tcp::socket socket, http_server_state& state,
                    closed_callback closed);

    /** @brief Starts to read requests. */
    void start();

    /** @brief Cancels the requests in flight, which still get a response. */
    void interrupt_requests();

    /** @brief Closes the connection and cancels its requests. */
    void close();

    /** @brief Applies a changed idle timeout. */
    void restart_idle_timer();

    void evict() override;

private:
    using error_code = boost::system::error_code;

    void read();
    void on_read(const error_code& error, std::size_t bytes);
    void parse();
    /** Parses what has been received; returns false if more input is needed. */
    [[nodiscard]] bool parse_some();
    [[nodiscard]] bool begin_request();
    void on_header();
    void on_body_received();
    [[nodiscard]] bool caller_has_left();
    void on_request();
    void reject(int status, std::string_view explanation);
    void reject_malformed(const error_code& error);
    void push(pipelined_request item);
    [[nodiscard]] response_conditions conditions() const;
    void start_requests();
    void on_response(std::uint64_t id, http_response response);
    void write_continue();
    void write_next();
    void write_some(bool closes);
    void on_written(const error_code& error, bool closes);
    void linger();
    void check_idle();
    void shrink_buffer();
    /** Maximum time until the connection is checked again. */
    [[nodiscard]] duration time_left() const;
    [[nodiscard]] bool receives_header() const;
    [[nodiscard]] caller_phase phase() const;
    [[nodiscard]] std::size_t held() const;
    /** Memory of what was read ahead of the requests in progress. */
    [[nodiscard]] std::size_t read_ahead() const;
    /** Accounts for what the connection holds; false if that is more than allowed. */
    [[nodiscard]] bool account();
    void reject_for_memory();
    void end_input();

    boost::asio::ip::tcp::socket socket_;
    http_server_state& state_;
    closed_callback on_closed_;
    boost::beast::flat_buffer buffer_;
    std::optional<request_parser> parser_;
    request_pipeline pipeline_;
    /** Id in the ledger of callers. */
    std::uint64_t ledger_id_{};
    /** Memory of the response that is being written. */
    std::size_t message_memory_{};
    /** The current request's header has been checked. */
    bool header_checked_{};
    /** The current request was rejected; its body is discarded. */
    bool rejected_{};
    /** The caller waits for an interim response. */
    bool continue_due_{};
    /** No further request of this connection is read. */
    bool input_ended_{};
    bool reading_{};
    bool writing_{};
    /** The last response was sent; waits for the caller to close its side. */
    bool lingering_{};
    bool closed_{};
    std::optional<response_message> message_;
    std::optional<boost::beast::http::response_serializer<response_message::body_type>> serializer_;
    monotonic_time last_activity_;
    /** Time of the first byte of the header that is being received. */
    monotonic_time header_started_;
    subscription timer_;
};

} // namespace savorywheel

#endif
