#include <savorywheel/traffic/answered_requests.hpp>

#include <utility>

namespace savorywheel {

namespace {

constexpr std::size_t max_recent = 2048;

} // namespace

void answered_requests::add(request_digest digest)
{
    if (recent_.size() >= max_recent) {
        earlier_ = std::exchange(recent_, {});
    }
    recent_.insert(digest);
}

} // namespace savorywheel
