#include <savorywheel/admin/admin_response.hpp>

#include <utility>

namespace savorywheel {

http_response make_text_response(admin_status status, std::string body)
{
    return {static_cast<int>(status), {{"Content-Type", "text/plain"}}, std::move(body)};
}

http_response make_json_response(admin_status status, std::string body)
{
    return {static_cast<int>(status), {{"Content-Type", "application/json"}}, std::move(body)};
}

http_response make_failure_response(const failure& reason)
{
    auto status = admin_status::unavailable;
    if (reason.code == failure_code::not_found) {
        status = admin_status::not_found;
    }
    else if (reason.code == failure_code::malformed ||
             reason.code == failure_code::invalid_argument) {
        status = admin_status::bad_request;
    }
    else if (reason.code == failure_code::permission) {
        status = admin_status::forbidden;
    }
    return make_text_response(status, reason.message + "\n");
}

} // namespace savorywheel
