#ifndef SAVORYWHEEL_HTTP_REQUEST_PIPELINE_HPP
#define SAVORYWHEEL_HTTP_REQUEST_PIPELINE_HPP

#include <savorywheel/http/pipelined_request.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>

namespace savorywheel {

/** @return True for the methods that change nothing at the server (RFC 9110, 9.2.1). */
[[nodiscard]] bool is_safe_method(std::string_view method) noexcept;

/**
 * @brief Requests of one connection, in the order in which they were sent.
 *
 * Safe requests run concurrently. Any other request starts after all requests before it have been
 * answered, and the requests behind it wait for its response (RFC 9112, 9.3.2): if the connection
 * ends at an earlier response, such a request has not run, and the caller may send it again.
 * Responses are taken in the order of the requests.
 * @warning Not thread-safe.
 */
class request_pipeline {
public:
    /**
     * @brief Appends a request, or the response to one that is rejected.
     * @return Its id.
     */
    std::uint64_t push(pipelined_request item);

    /**
     * @return The next request that may be started, marked as started; nullptr if there is none.
     * Valid until the next call.
     */
    [[nodiscard]] pipelined_request* start_next() noexcept;

    /**
     * @brief Sets the response to a request; ignored if the request is unknown or has one.
     * @param memory Memory of the response, in bytes.
     */
    void set_response(std::uint64_t id, http_response response, std::size_t memory = 0);

    /** @return Memory of a request that has no response; 0 if it is unknown or has one. */
    [[nodiscard]] std::size_t memory_of_request(std::uint64_t id) const noexcept;

    /** @return Memory of all requests and responses, in bytes. */
    [[nodiscard]] std::size_t memory() const noexcept;

    /** @return Memory of the requests that have not been started, in bytes. */
    [[nodiscard]] std::size_t waiting_memory() const noexcept;

    /** @return The first request, removed, if it has a response; std::nullopt otherwise. */
    [[nodiscard]] std::optional<pipelined_request> pop_answered();

    /** @brief Cancels all requests, each of which keeps its place for a response. */
    void interrupt_all();

    /** @brief Cancels and removes all requests. */
    void cancel_all();

    [[nodiscard]] std::size_t size() const noexcept { return items_.size(); }

    [[nodiscard]] bool empty() const noexcept { return items_.empty(); }

private:
    std::deque<pipelined_request> items_;
    std::uint64_t next_id_{};
};

} // namespace savorywheel

#endif
