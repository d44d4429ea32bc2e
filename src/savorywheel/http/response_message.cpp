#include <savorywheel/http/http_status.hpp>
#include <savorywheel/http/response_message.hpp>

#include <algorithm>
#include <exception>
#include <string_view>
#include <utility>

namespace savorywheel {

namespace {

constexpr unsigned http_version = 11;
constexpr int first_final_status = 200;
constexpr int max_status = 599;

/** Characters of a field name beside letters and digits (RFC 9110, 5.6.2). */
constexpr std::string_view token_symbols = "!#$%&'*+-.^_`|~";

bool is_token(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, [](char item) {
        return (item >= '0' && item <= '9') || (item >= 'a' && item <= 'z') ||
               (item >= 'A' && item <= 'Z') || token_symbols.find(item) != std::string_view::npos;
    });
}

/** Control characters would end the field or the header. */
bool is_field_value(std::string_view text)
{
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char delete_character = 0x7f;
    return std::ranges::all_of(text, [](unsigned char item) {
        return item == '\t' || (item >= first_printable && item != delete_character);
    });
}

bool has_no_body(int status)
{
    return status == status_no_content || status == status_not_modified;
}

response_message assemble(http_response response, const response_conditions& conditions)
{
    response_message message;
    message.version(http_version);
    message.result(static_cast<unsigned>(response.status));
    for (const auto& header : response.headers) {
        if (is_token(header.name) && is_field_value(header.value)) {
            message.insert(header.name, header.value);
        }
    }
    if (!has_no_body(response.status)) {
        message.content_length(response.body.size());
        if (!conditions.head_request) {
            message.body() = std::move(response.body);
        }
    }
    if (conditions.closes) {
        message.set(boost::beast::http::field::connection, "close");
    }
    else if (conditions.confirms_keep_alive) {
        message.set(boost::beast::http::field::connection, "keep-alive");
    }
    return message;
}

} // namespace

response_message make_message(http_response response, const response_conditions& conditions)
{
    if (response.status >= first_final_status && response.status <= max_status) {
        try {
            return assemble(std::move(response), conditions);
        }
        catch (const std::exception&) {
            // A field is longer than the library supports.
        }
    }
    return assemble({status_bad_gateway, {}, "the response is not valid in HTTP\n"}, conditions);
}

} // namespace savorywheel
