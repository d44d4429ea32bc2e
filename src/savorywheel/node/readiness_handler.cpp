#include <savorywheel/http/http_status.hpp>
#include <savorywheel/node/readiness_handler.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

/** Discovery of peers takes up to 1 s. After this wait, a mesh without backend servers is ready. */
constexpr std::chrono::milliseconds max_backend_wait{3000};

bool has_backend_server(const routing_table& table)
{
    return std::ranges::any_of(table.routes(),
                               [](const auto& item) { return !item.second->endpoints.empty(); });
}

} // namespace

http_response readiness_handler::handle(const http_request& /*request*/)
{
    if (stopping_) {
        return {status_unavailable, {}, "the node stops\n"};
    }
    const auto table = tables_.current();
    if (table->version() == config_version{}) {
        return {status_unavailable, {}, "no configuration yet\n"};
    }
    if (!has_backend_server(*table) && time_.now() - created_ < max_backend_wait) {
        return {status_unavailable, {}, "no backend server known yet\n"};
    }
    return {status_ok, {}, "ready\n"};
}

} // namespace savorywheel
