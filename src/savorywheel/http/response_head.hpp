#ifndef SAVORYWHEEL_HTTP_RESPONSE_HEAD_HPP
#define SAVORYWHEEL_HTTP_RESPONSE_HEAD_HPP

#include <savorywheel/http/http_client_limits.hpp>
#include <savorywheel/http/http_header.hpp>

#include <string_view>
#include <utility>
#include <vector>

namespace savorywheel {

/**
 * @brief Header fields of the final response, read line by line.
 *
 * The fields of interim responses (1xx) and trailer fields are discarded: they are not part of the
 * final response's header (RFC 9110, 6.5.1 and 15.2).
 */
class response_head {
public:
    /** @param limits Limits of the header. */
    explicit response_head(const http_client_limits& limits) : limits_{limits} {}

    /**
     * @brief Reads the next line; it may end with CRLF.
     * @return False if the header exceeds its limits or its status is not one of a response.
     */
    [[nodiscard]] bool add_line(std::string_view line);

    /** @return False after a status line whose status is not 100 to 599. */
    [[nodiscard]] bool has_valid_status() const noexcept { return valid_; }

    /** @return True after the empty line that ends the header of the final response. */
    [[nodiscard]] bool complete() const noexcept { return complete_; }

    [[nodiscard]] const std::vector<http_header>& fields() const noexcept { return fields_; }

    /** @return The fields, which are moved out. */
    [[nodiscard]] std::vector<http_header> take_fields() noexcept { return std::move(fields_); }

private:
    void start(std::string_view status_line);
    void add_field(std::string_view line);

    http_client_limits limits_;
    std::vector<http_header> fields_;
    /** Size of all lines, including those of interim responses and trailers. */
    std::size_t bytes_{};
    std::size_t interim_responses_{};
    /** A header has been started by its status line and has not ended. */
    bool started_{};
    bool interim_{};
    bool complete_{};
    bool valid_{true};
};

} // namespace savorywheel

#endif
