#include <savorywheel/http/http_status.hpp>
#include <savorywheel/traffic/rejection.hpp>

namespace savorywheel {

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
