#ifndef SAVORYWHEEL_TRAFFIC_SERVER_DIALECT_HPP
#define SAVORYWHEEL_TRAFFIC_SERVER_DIALECT_HPP

#include <savorywheel/http/answer_end.hpp>
#include <savorywheel/http/http_request.hpp>
#include <savorywheel/http/http_response.hpp>
#include <savorywheel/traffic/answer_verdict.hpp>
#include <savorywheel/traffic/backend_server.hpp>

#include <chrono>

namespace savorywheel {

/** @brief Header fields by which the mesh and backend servers speak about a request. */
class server_dialect {
public:
    server_dialect() = default;
    server_dialect(const server_dialect&) = delete;
    server_dialect& operator=(const server_dialect&) = delete;
    server_dialect(server_dialect&&) = delete;
    server_dialect& operator=(server_dialect&&) = delete;
    virtual ~server_dialect() = default;

    /**
     * @brief Adds the fields for a backend server.
     * @param request The request.
     * @param backend The backend server that is to run it.
     * @param remaining Time left until the deadline.
     */
    virtual void address(http_request& request, const backend_server& backend,
                         std::chrono::milliseconds remaining) const = 0;

    /** @return What an answer says about the request that was sent. */
    [[nodiscard]] virtual answer_verdict judge(const http_request& request,
                                               const http_response& response) const = 0;

    /** @return What makes an answer of a backend server whole. */
    [[nodiscard]] virtual answer_end whole_answers() const noexcept
    {
        return answer_end::by_length;
    }
};

} // namespace savorywheel

#endif
