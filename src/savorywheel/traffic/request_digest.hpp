#ifndef SAVORYWHEEL_TRAFFIC_REQUEST_DIGEST_HPP
#define SAVORYWHEEL_TRAFFIC_REQUEST_DIGEST_HPP

#include <savorywheel/traffic/call_request.hpp>

#include <cstdint>

namespace savorywheel {

using request_digest = std::uint64_t;

/**
 * @return Digest of what makes two calls the same request: caller, tenant, method, target and body;
 * other header fields differ in retries.
 */
[[nodiscard]] request_digest digest_of(const call_request& call) noexcept;

} // namespace savorywheel

#endif
