#include <savorywheel/node/readiness_handler.hpp>

namespace savorywheel {

namespace {

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

} // namespace

http_response readiness_handler::handle(const http_request& /*request*/)
{
    if (stopping_) {
        return {status_unavailable, {}, "the node stops\n"};
    }
    if (tables_.current()->version() == config_version{}) {
        return {status_unavailable, {}, "no configuration yet\n"};
    }
    return {status_ok, {}, "ready\n"};
}

} // namespace savorywheel
