#include <savorywheel/admin/admin_headers.hpp>
#include <savorywheel/admin/admin_response.hpp>
#include <savorywheel/admin/history_reporter.hpp>
#include <savorywheel/admin/query_handler.hpp>
#include <savorywheel/admin/status_reporter.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <utility>

namespace savorywheel {

http_response query_handler::check(const http_request& request)
{
    const auto base_version = read_base_version(request);
    if (!base_version) {
        return make_failure_response(base_version.reason());
    }
    auto report = changes_.preview(request.body, *base_version);
    if (!report) {
        return make_failure_response(report.reason());
    }
    report->domains.clear();
    report->services.clear();
    report->tenants.clear();
    return make_json_response(admin_status::ok, encode_json(*report));
}

http_response query_handler::diff(const http_request& request)
{
    const auto base_version = read_base_version(request);
    if (!base_version) {
        return make_failure_response(base_version.reason());
    }
    const auto report = changes_.preview(request.body, *base_version);
    if (!report) {
        return make_failure_response(report.reason());
    }
    return make_json_response(admin_status::ok, encode_json(*report));
}

http_response query_handler::text()
{
    const auto state = control_.configuration();
    if (!state) {
        return make_failure_response(state.reason());
    }
    auto text = changes_.current_text();
    if (!text) {
        return make_failure_response(text.reason());
    }
    return {static_cast<int>(admin_status::ok),
            {{"Content-Type", "application/yaml"},
             {std::string{base_header}, std::to_string(state->version().number)}},
            std::move(*text)};
}

http_response query_handler::status()
{
    const auto state = control_.configuration();
    if (!state) {
        return make_failure_response(state.reason());
    }
    const auto domains = control_.domains();
    if (!domains) {
        return make_failure_response(domains.reason());
    }
    return make_json_response(admin_status::ok, encode_json(make_status_report(*state, *domains)));
}

http_response query_handler::history()
{
    const auto commits = control_.history();
    if (!commits) {
        return make_failure_response(commits.reason());
    }
    return make_json_response(admin_status::ok, encode_json(make_history_report(*commits)));
}

http_response query_handler::overrides()
{
    const auto state = control_.configuration();
    if (!state) {
        return make_failure_response(state.reason());
    }
    return make_json_response(admin_status::ok, encode_json(make_override_report(*state)));
}

http_response query_handler::state()
{
    const auto dump = control_.dump();
    if (!dump) {
        return make_failure_response(dump.reason());
    }
    return make_json_response(admin_status::ok, encode_json(*dump));
}

} // namespace savorywheel
