#include <savorywheel/traffic/rejection.hpp>

namespace savorywheel {

namespace {

constexpr int status_not_found = 404;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

} // namespace

int rejection::status() const noexcept
{
    switch (kind) {
    case rejection_kind::no_route:
        return status_not_found;
    case rejection_kind::not_run:
        return status_unavailable;
    case rejection_kind::expired:
        return status_gateway_timeout;
    case rejection_kind::unknown:
        break;
    }
    return status_bad_gateway;
}

} // namespace savorywheel
