#ifndef SAVORYWHEEL_HTTP_REQUEST_PARSER_HPP
#define SAVORYWHEEL_HTTP_REQUEST_PARSER_HPP

#include <savorywheel/http/http_request.hpp>

#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace savorywheel {

/**
 * @brief Parses one request, on Boost.Beast; keeps the fields in their order.
 * @warning Include only in source files of this module; the header exposes Boost.Beast.
 */
class request_parser final : public boost::beast::http::basic_parser<true> {
public:
    /**
     * @param max_header_bytes Maximum size of request line and fields, in bytes.
     * @param max_kept_body_bytes Size at which the body is cut, in bytes.
     */
    request_parser(std::size_t max_header_bytes, std::size_t max_kept_body_bytes);

    /** @return The request; its body is cut at the limit. */
    [[nodiscard]] http_request& request() noexcept { return request_; }

    /** @return Length of the body that the header announces; std::nullopt if it has none. */
    [[nodiscard]] std::optional<std::uint64_t> announced_bytes();

    /** @return False if the header names a transfer coding in which the body's end is unknown. */
    [[nodiscard]] bool has_known_framing() const;

    /** @return True if the caller waits for an interim response before it sends the body. */
    [[nodiscard]] bool expects_continue() const;

    /** @return True for a request in HTTP/1.0. */
    [[nodiscard]] bool is_http_1_0() const noexcept { return is_http_1_0_; }

    [[nodiscard]] bool is_head() const noexcept { return request_.method == "HEAD"; }

    /** @brief Discards the body, also what has been received of it. */
    void discard_body() noexcept;

    /** @brief Discards the header fields. */
    void discard_headers() noexcept;

    /** @return Size of the body that has been received, also of what is not kept, in bytes. */
    [[nodiscard]] std::uint64_t received_bytes() const noexcept { return received_bytes_; }

    /** @return Memory of the request, in bytes. */
    [[nodiscard]] std::size_t memory() const noexcept;

private:
    using error_code = boost::beast::error_code;
    using text = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb method, text method_text, text target,
                         int version, error_code& error) override;
    void on_response_impl(int status, text reason, int version, error_code& error) override;
    void on_field_impl(boost::beast::http::field name, text name_text, text value,
                       error_code& error) override;
    void on_header_impl(error_code& error) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                           error_code& error) override;
    std::size_t on_body_impl(text bytes, error_code& error) override;
    void on_chunk_header_impl(std::uint64_t size, text extensions, error_code& error) override;
    std::size_t on_chunk_body_impl(std::uint64_t remaining, text bytes, error_code& error) override;
    void on_finish_impl(error_code& error) override;

    void keep(text bytes);

    http_request request_;
    std::size_t max_kept_body_bytes_;
    std::uint64_t received_bytes_{};
    /** Memory of the texts of all fields. */
    std::size_t field_text_bytes_{};
    bool header_complete_{};
    bool is_http_1_0_{};
};

} // namespace savorywheel

#endif
