#include <savorywheel/http/http_status.hpp>
#include <savorywheel/traffic/rejection.hpp>

namespace savorywheel {

std::string_view label_of(rejection_kind kind) noexcept
{
    switch (kind) {
    case rejection_kind::no_route:
        return "no_route";
    case rejection_kind::stopping:
        return "stopping";
    case rejection_kind::no_configuration:
        return "no_configuration";
    case rejection_kind::no_service:
        return "no_service";
    case rejection_kind::unauthorized:
        return "unauthorized";
    case rejection_kind::unconfirmed:
        return "unconfirmed";
    case rejection_kind::over_quota:
        return "over_quota";
    case rejection_kind::quota_unknown:
        return "quota_unknown";
    case rejection_kind::not_run:
        return "not_run";
    case rejection_kind::expired:
        return "expired";
    case rejection_kind::unknown:
        break;
    }
    return "unknown";
}

int rejection::status() const noexcept
{
    switch (kind) {
    case rejection_kind::no_route:
        return status_not_found;
    case rejection_kind::unauthorized:
        return status_unauthorized;
    case rejection_kind::over_quota:
        return status_too_many_requests;
    case rejection_kind::unconfirmed:
    case rejection_kind::quota_unknown:
    case rejection_kind::stopping:
    case rejection_kind::no_configuration:
    case rejection_kind::no_service:
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
