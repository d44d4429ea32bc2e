#include <savorywheel/http/http_status.hpp>
#include <savorywheel/traffic/response_class.hpp>

namespace savorywheel {

response_class classify(response_verdict verdict, int status,
                        const response_origin& origin) noexcept
{
    switch (verdict) {
    case response_verdict::complete:
        if (is_success(status)) {
            return response_class::success;
        }
        return response_class::failure;
    case response_verdict::not_run:
        return origin.request == named_request::own ? response_class::refusal
                                                    : response_class::unnamed_refusal;
    case response_verdict::untrusted:
        break;
    }
    return origin.is_signed || is_success(status) ? response_class::untrusted
                                                  : response_class::unsigned_failure;
}

std::string_view label_of(response_class kind) noexcept
{
    switch (kind) {
    case response_class::success:
        return "success";
    case response_class::failure:
        return "failure";
    case response_class::unsigned_failure:
        return "unsigned_failure";
    case response_class::refusal:
        return "refusal";
    case response_class::unnamed_refusal:
        return "unnamed_refusal";
    case response_class::untrusted:
        break;
    }
    return "untrusted";
}

} // namespace savorywheel
