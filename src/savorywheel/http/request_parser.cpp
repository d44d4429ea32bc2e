#include <savorywheel/http/message_memory.hpp>
#include <savorywheel/http/request_parser.hpp>

#include <boost/optional.hpp>

#include <algorithm>
#include <limits>
#include <string_view>

namespace savorywheel {

namespace {

/** How the library numbers HTTP/1.0. */
constexpr int http_1_0 = 10;

std::string to_string(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

request_parser::request_parser(std::size_t max_header_bytes, std::size_t max_kept_body_bytes)
    : max_kept_body_bytes_{max_kept_body_bytes}
{
    header_limit(static_cast<std::uint32_t>(max_header_bytes));
    // The library takes an unset limit for zero.
    body_limit(std::numeric_limits<std::uint64_t>::max());
}

std::optional<std::uint64_t> request_parser::announced_bytes()
{
    const auto length = content_length();
    return length ? std::optional{*length} : std::nullopt;
}

bool request_parser::has_known_framing() const
{
    return chunked() || std::ranges::none_of(request_.headers, [](const http_header& header) {
               return equal_ignoring_case(header.name, "Transfer-Encoding");
           });
}

bool request_parser::expects_continue() const
{
    return equal_ignoring_case(find_header(request_.headers, "Expect"), "100-continue");
}

void request_parser::discard_body() noexcept
{
    max_kept_body_bytes_ = 0;
    request_.body = {};
}

void request_parser::discard_headers() noexcept
{
    request_.headers = {};
    field_text_bytes_ = 0;
}

std::size_t request_parser::memory() const noexcept
{
    return memory_of(request_.method) + memory_of(request_.target) + memory_of(request_.body) +
           memory_of_elements(request_.headers) + field_text_bytes_;
}

void request_parser::on_request_impl(boost::beast::http::verb /*method*/, text method_text,
                                     text target, int version, error_code& error)
{
    is_http_1_0_ = version == http_1_0;
    request_.method = to_string(method_text);
    request_.target = to_string(target);
    error = {};
}

void request_parser::on_response_impl(int /*status*/, text /*reason*/, int /*version*/,
                                      error_code& error)
{
    error = boost::beast::http::error::bad_version;
}

void request_parser::on_field_impl(boost::beast::http::field /*name*/, text name_text, text value,
                                   error_code& error)
{
    // Trailer fields are not part of the header (RFC 9110, 6.5.1).
    if (!header_complete_) {
        request_.headers.push_back({to_string(name_text), to_string(value)});
        field_text_bytes_ += memory_of(request_.headers.back());
    }
    error = {};
}

void request_parser::on_header_impl(error_code& error)
{
    header_complete_ = true;
    // Growth leaves up to half of the elements unused.
    request_.headers.shrink_to_fit();
    error = {};
}

void request_parser::on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                                       error_code& error)
{
    error = {};
}

std::size_t request_parser::on_body_impl(text bytes, error_code& error)
{
    keep(bytes);
    error = {};
    return bytes.size();
}

void request_parser::on_chunk_header_impl(std::uint64_t /*size*/, text /*extensions*/,
                                          error_code& error)
{
    error = {};
}

std::size_t request_parser::on_chunk_body_impl(std::uint64_t /*remaining*/, text bytes,
                                               error_code& error)
{
    return on_body_impl(bytes, error);
}

void request_parser::on_finish_impl(error_code& error)
{
    error = {};
}

void request_parser::keep(text bytes)
{
    received_bytes_ += bytes.size();
    const auto room = max_kept_body_bytes_ - std::min(max_kept_body_bytes_, request_.body.size());
    if (room > 0 && request_.body.empty()) {
        // A body of known length needs no growth, in which it would exist twice.
        request_.body.reserve(static_cast<std::size_t>(
            std::min<std::uint64_t>(announced_bytes().value_or(0), max_kept_body_bytes_)));
    }
    request_.body.append(bytes.data(), std::min(room, bytes.size()));
}

} // namespace savorywheel
