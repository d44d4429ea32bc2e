#ifndef SAVORYWHEEL_TRAFFIC_REQUEST_DIGEST_HPP
#define SAVORYWHEEL_TRAFFIC_REQUEST_DIGEST_HPP

#include <savorywheel/http/http_request.hpp>

#include <cstdint>

namespace savorywheel {

using request_digest = std::uint64_t;

/** @return Digest of method, target and body; headers are excluded, they differ in retries. */
[[nodiscard]] request_digest digest_of(const http_request& request) noexcept;

} // namespace savorywheel

#endif
