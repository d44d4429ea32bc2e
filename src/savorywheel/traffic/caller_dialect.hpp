#ifndef SAVORYWHEEL_TRAFFIC_CALLER_DIALECT_HPP
#define SAVORYWHEEL_TRAFFIC_CALLER_DIALECT_HPP

#include <savorywheel/http/http_request.hpp>
#include <savorywheel/http/http_response.hpp>
#include <savorywheel/traffic/caller_terms.hpp>
#include <savorywheel/traffic/rejection.hpp>

namespace savorywheel {

/** @brief Reads and writes the header fields between callers and the mesh. */
class caller_dialect {
public:
    caller_dialect() = default;
    caller_dialect(const caller_dialect&) = delete;
    caller_dialect& operator=(const caller_dialect&) = delete;
    caller_dialect(caller_dialect&&) = delete;
    caller_dialect& operator=(caller_dialect&&) = delete;
    virtual ~caller_dialect() = default;

    /** @return The options that the header fields of the request state. */
    [[nodiscard]] virtual caller_terms read(const http_request& request) const = 0;

    /** @brief Removes the fields addressed to the mesh and adds those that the mesh guarantees. */
    virtual void forward(http_request& request) const = 0;

    /** @return The HTTP response for a rejected request. */
    [[nodiscard]] virtual http_response reject(const rejection& why) const = 0;
};

} // namespace savorywheel

#endif
