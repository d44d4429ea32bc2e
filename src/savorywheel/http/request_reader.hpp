#ifndef SAVORYWHEEL_HTTP_REQUEST_READER_HPP
#define SAVORYWHEEL_HTTP_REQUEST_READER_HPP

#include <savorywheel/http/http_request.hpp>

#include <ulfius.h>

namespace savorywheel {

/**
 * @brief Reads requests as they were received: ulfius decodes targets and merges repeated fields.
 * @warning One thread must read all of a connection's requests, one after the other.
 */
class request_reader {
public:
    /** @brief Callback of libmicrohttpd for the target of a request; remembers it for read(). */
    static void* on_target(void* context, const char* target, MHD_Connection* connection);

    /** @return The request whose target this thread received last, with its origin form. */
    [[nodiscard]] static http_request read(const _u_request& source);
};

} // namespace savorywheel

#endif
