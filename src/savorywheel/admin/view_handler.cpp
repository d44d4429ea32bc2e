#include <savorywheel/admin/admin_headers.hpp>
#include <savorywheel/admin/admin_response.hpp>
#include <savorywheel/admin/history_reporter.hpp>
#include <savorywheel/admin/status_reporter.hpp>
#include <savorywheel/admin/view_handler.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <utility>

namespace savorywheel {

http_response view_handler::check(const http_request& request)
{
    const auto seen = read_seen_version(request);
    if (!seen) {
        return make_failure_response(seen.reason());
    }
    auto report = changes_.inspect(request.body, *seen);
    if (!report) {
        return make_failure_response(report.reason());
    }
    report->domains.clear();
    report->services.clear();
    return make_json_response(admin_status::ok, encode_json(*report));
}

http_response view_handler::diff(const http_request& request)
{
    const auto seen = read_seen_version(request);
    if (!seen) {
        return make_failure_response(seen.reason());
    }
    const auto report = changes_.inspect(request.body, *seen);
    if (!report) {
        return make_failure_response(report.reason());
    }
    return make_json_response(admin_status::ok, encode_json(*report));
}

http_response view_handler::text()
{
    const auto state = view_.configuration();
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

http_response view_handler::status()
{
    const auto state = view_.configuration();
    if (!state) {
        return make_failure_response(state.reason());
    }
    const auto domains = view_.domains();
    if (!domains) {
        return make_failure_response(domains.reason());
    }
    return make_json_response(admin_status::ok, encode_json(make_status_report(*state, *domains)));
}

http_response view_handler::history()
{
    const auto commits = view_.history();
    if (!commits) {
        return make_failure_response(commits.reason());
    }
    return make_json_response(admin_status::ok, encode_json(make_history_report(*commits)));
}

http_response view_handler::overrides()
{
    const auto state = view_.configuration();
    if (!state) {
        return make_failure_response(state.reason());
    }
    return make_json_response(admin_status::ok, encode_json(make_override_report(*state)));
}

http_response view_handler::state()
{
    const auto dump = view_.dump();
    if (!dump) {
        return make_failure_response(dump.reason());
    }
    return make_json_response(admin_status::ok, encode_json(*dump));
}

} // namespace savorywheel
