#ifndef SAVORYWHEEL_TRAFFIC_SERVER_DIALECT_HPP
#define SAVORYWHEEL_TRAFFIC_SERVER_DIALECT_HPP

#include <savorywheel/http/answer_end.hpp>
#include <savorywheel/http/http_request.hpp>
#include <savorywheel/http/http_response.hpp>
#include <savorywheel/traffic/answer_verdict.hpp>
#include <savorywheel/traffic/backend_server.hpp>

#include <chrono>

namespace savorywheel {

/** @brief Reads and writes the header fields between the mesh and backend servers. */
class server_dialect {
public:
    server_dialect() = default;
    server_dialect(const server_dialect&) = delete;
    server_dialect& operator=(const server_dialect&) = delete;
    server_dialect(server_dialect&&) = delete;
    server_dialect& operator=(server_dialect&&) = delete;
    virtual ~server_dialect() = default;

    /**
     * @brief Adds the header fields for a backend server to a request.
     * @param request Request to extend.
     * @param backend Backend server that the request is sent to.
     * @param remaining Time until the deadline.
     */
    virtual void address(http_request& request, const backend_server& backend,
                         std::chrono::milliseconds remaining) const = 0;

    /** @return Whether the response is complete and belongs to the request. */
    [[nodiscard]] virtual answer_verdict judge(const http_request& request,
                                               const http_response& response) const = 0;

    /** @return How the end of a complete response of a backend server is recognized. */
    [[nodiscard]] virtual answer_end whole_answers() const noexcept
    {
        return answer_end::by_length;
    }
};

} // namespace savorywheel

#endif
