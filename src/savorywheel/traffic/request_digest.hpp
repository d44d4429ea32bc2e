#ifndef SAVORYWHEEL_TRAFFIC_REQUEST_DIGEST_HPP
#define SAVORYWHEEL_TRAFFIC_REQUEST_DIGEST_HPP

#include <savorywheel/http/http_request.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief Digest of a request. */
using request_digest = std::uint64_t;

/** @return Digest of the method, the target and the body; headers differ when it is sent again. */
[[nodiscard]] request_digest digest_of(const http_request& request) noexcept;

} // namespace savorywheel

#endif
