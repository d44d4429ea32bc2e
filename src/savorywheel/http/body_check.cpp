#include <savorywheel/http/body_check.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace savorywheel {

namespace {

/** @return The number; none if the text is not a decimal number of the type's range. */
std::optional<std::size_t> parse_length(std::string_view text)
{
    std::size_t length{};
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, length);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return length;
}

/** Length fields of one request. */
struct announced_length {
    std::optional<std::size_t> bytes;
    bool valid{true};
};

announced_length length_of(std::span<const http_header> headers)
{
    announced_length result;
    bool chunked = false;
    for (const auto& header : headers) {
        if (equal_ignoring_case(header.name, "Transfer-Encoding")) {
            chunked = true;
        }
        else if (equal_ignoring_case(header.name, "Content-Length")) {
            const auto length = parse_length(header.value);
            const bool repeats = !result.bytes || result.bytes == length;
            result.valid = result.valid && length && repeats;
            result.bytes = length;
        }
    }
    result.valid = result.valid && !(chunked && result.bytes);
    return result;
}

} // namespace

body_verdict check_body(const http_request& request, std::size_t max_bytes,
                        std::size_t max_buffered_bytes)
{
    const auto announced = length_of(request.headers);
    if (!announced.valid) {
        return body_verdict::misframed;
    }
    const auto received = request.body.size();
    if (std::max(received, announced.bytes.value_or(0)) > max_bytes) {
        return body_verdict::too_large;
    }
    if (received > max_buffered_bytes) {
        return body_verdict::unbuffered;
    }
    return announced.bytes.value_or(received) == received ? body_verdict::complete
                                                          : body_verdict::misframed;
}

} // namespace savorywheel
