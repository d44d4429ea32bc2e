#include <savorywheel/http/http_status.hpp>
#include <savorywheel/store/store_failure.hpp>

#include <fmt/format.h>

namespace savorywheel {

failure store_failure(int status)
{
    const auto message = fmt::format("the platform's service answered {}", status);
    switch (status) {
    case status_not_found:
    case status_gone:
        return {failure_code::not_found, message};
    case status_conflict:
    case status_precondition_failed:
        return {failure_code::conflict, message};
    case status_too_many_requests:
    case status_unavailable:
        return {failure_code::unavailable, message};
    default:
        return {failure_code::unknown_outcome, message};
    }
}

failure lost_revision(failure_code code)
{
    return {code, "the store was restored from a backup and has lost the revision"};
}

} // namespace savorywheel
