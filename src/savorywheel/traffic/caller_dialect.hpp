#ifndef SAVORYWHEEL_TRAFFIC_CALLER_DIALECT_HPP
#define SAVORYWHEEL_TRAFFIC_CALLER_DIALECT_HPP

#include <savorywheel/http/http_request.hpp>
#include <savorywheel/http/http_response.hpp>
#include <savorywheel/traffic/caller_terms.hpp>
#include <savorywheel/traffic/rejection.hpp>

namespace savorywheel {

/** @brief Header fields by which callers and the mesh speak about a request. */
class caller_dialect {
public:
    caller_dialect() = default;
    caller_dialect(const caller_dialect&) = delete;
    caller_dialect& operator=(const caller_dialect&) = delete;
    caller_dialect(caller_dialect&&) = delete;
    caller_dialect& operator=(caller_dialect&&) = delete;
    virtual ~caller_dialect() = default;

    /** @return What the caller says about its request. */
    [[nodiscard]] virtual caller_terms read(const http_request& request) const = 0;

    /** @brief Replaces the fields that are only for the mesh by those that the mesh vouches for. */
    virtual void forward(http_request& request) const = 0;

    /** @return The answer that tells the caller of a rejection. */
    [[nodiscard]] virtual http_response reject(const rejection& why) const = 0;
};

} // namespace savorywheel

#endif
