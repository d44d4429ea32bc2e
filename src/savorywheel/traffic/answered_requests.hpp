#ifndef SAVORYWHEEL_TRAFFIC_ANSWERED_REQUESTS_HPP
#define SAVORYWHEEL_TRAFFIC_ANSWERED_REQUESTS_HPP

#include <savorywheel/traffic/request_digest.hpp>

#include <cstddef>
#include <unordered_set>

namespace savorywheel {

/** @brief The requests that were answered lately, up to a fixed number. */
class answered_requests {
public:
    /** @brief Adds a request that got a complete response. */
    void add(request_digest digest);

    /** @return True if the request has got a complete response lately. */
    [[nodiscard]] bool contains(request_digest digest) const
    {
        return recent_.contains(digest) || earlier_.contains(digest);
    }

    /** @return Number of requests, of which a few may be counted twice. */
    [[nodiscard]] std::size_t size() const noexcept { return recent_.size() + earlier_.size(); }

private:
    std::unordered_set<request_digest> recent_;
    /** Dropped as a whole when the recent ones take its place. */
    std::unordered_set<request_digest> earlier_;
};

} // namespace savorywheel

#endif
