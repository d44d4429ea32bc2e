#include <savorywheel/admin/admin_handler.hpp>
#include <savorywheel/admin/status_reporter.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <fmt/format.h>

#include <utility>

namespace savorywheel {

namespace {

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_forbidden = 403;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;
constexpr std::string_view key_header = "x-savorywheel-key";

http_response text_response(int status, std::string body)
{
    return {status, {{"Content-Type", "text/plain"}}, std::move(body)};
}

http_response json_response(int status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

int status_of(const apply_report& report)
{
    if (report.outcome == "accepted") {
        return status_ok;
    }
    return report.outcome == "unknown" ? status_gateway_timeout : status_conflict;
}

event_id event_of(const apply_report& report)
{
    if (report.outcome == "accepted") {
        return event_id::change_accepted;
    }
    return report.outcome == "unknown" ? event_id::change_unknown : event_id::change_refused;
}

} // namespace

http_response admin_handler::handle(const http_request& request)
{
    const auto route = request.method + " " + request.target;
    if (route == "PUT /config") {
        return apply(request);
    }
    if (route == "PUT /backend") {
        return announce(request);
    }
    if (route == "GET /state") {
        return dump_state();
    }
    if (route == "GET /status") {
        return report_status();
    }
    if (route == "GET /metrics") {
        return text_response(status_ok, environment_.metrics.render());
    }
    return text_response(status_not_found, fmt::format("no endpoint {}\n", route));
}

http_response admin_handler::apply(const http_request& request)
{
    const auto author = environment_.operators.find(find_header(request.headers, key_header));
    if (!author) {
        environment_.log.write(event_id::operator_rejected, request.target);
        return text_response(status_forbidden, "no operator has this key\n");
    }
    const auto report = environment_.changes.apply_text(request.body, *author);
    environment_.log.write(event_of(report),
                           fmt::format("operation {} by {}: version {} {}", report.operation.str(),
                                       author->str(), report.version.number, report.reason));
    return json_response(status_of(report), encode_json(report));
}

http_response admin_handler::announce(const http_request& request)
{
    const auto backend = decode_json<backend_server>(request.body);
    if (!backend) {
        return text_response(status_bad_request, backend.reason().message + "\n");
    }
    environment_.view.announce(*backend);
    return text_response(status_ok, "announced\n");
}

http_response admin_handler::dump_state()
{
    const auto dump = environment_.view.dump();
    if (!dump) {
        return text_response(status_unavailable, dump.reason().message + "\n");
    }
    return json_response(status_ok, encode_json(*dump));
}

http_response admin_handler::report_status()
{
    const auto state = environment_.view.configuration();
    if (!state) {
        return text_response(status_unavailable, state.reason().message + "\n");
    }
    return json_response(status_ok, encode_json(make_status_report(*state)));
}

} // namespace savorywheel
