#include <savorywheel/admin/admin_headers.hpp>
#include <savorywheel/admin/admin_response.hpp>
#include <savorywheel/admin/change_handler.hpp>
#include <savorywheel/admin/operation_status.hpp>
#include <savorywheel/config/name_rules.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <fmt/format.h>

namespace savorywheel {

namespace {

admin_status status_of(const apply_report& report)
{
    if (report.outcome == to_string(operation_status::accepted)) {
        return admin_status::ok;
    }
    return report.outcome == to_string(operation_status::unknown) ? admin_status::gateway_timeout
                                                                  : admin_status::conflict;
}

event_id event_of(const apply_report& report)
{
    if (report.outcome == to_string(operation_status::accepted)) {
        return event_id::change_accepted;
    }
    return report.outcome == to_string(operation_status::unknown) ? event_id::change_unknown
                                                                  : event_id::change_refused;
}

std::string describe(const apply_report& report, const author_name& author)
{
    return fmt::format("operation {} by {}: {} version {} {}", report.operation.str(), author.str(),
                       report.outcome, report.version.number, report.reason);
}

outcome<override_request> read_override(const http_request& request, std::string_view service)
{
    if (!is_host_label(service)) {
        return failure{failure_code::malformed, "the path does not end with a service's name"};
    }
    return decode_json<override_request>(request.body);
}

} // namespace

http_response change_handler::apply(const http_request& request)
{
    const auto ticket = read_ticket(request);
    if (!ticket) {
        return refuse(request, ticket.reason());
    }
    return answer(changes_.apply_text(request.body, *ticket), *ticket);
}

http_response change_handler::set_override(const http_request& request, std::string_view service)
{
    const auto ticket = read_ticket(request);
    if (!ticket) {
        return refuse(request, ticket.reason());
    }
    const auto wanted = read_override(request, service);
    if (!wanted) {
        return refuse(request, wanted.reason());
    }
    return answer(changes_.set_override(service_name{service}, *wanted, *ticket), *ticket);
}

http_response change_handler::release_override(const http_request& request,
                                               std::string_view service)
{
    const auto ticket = read_ticket(request);
    if (!ticket) {
        return refuse(request, ticket.reason());
    }
    const auto wanted = read_override(request, service);
    if (!wanted) {
        return refuse(request, wanted.reason());
    }
    return answer(changes_.release_override(service_name{service}, *wanted, *ticket), *ticket);
}

http_response change_handler::settle(const http_request& request, std::string_view operation)
{
    const auto ticket = read_ticket(request);
    if (!ticket) {
        return refuse(request, ticket.reason());
    }
    if (!is_key_part(operation)) {
        return refuse(request,
                      {failure_code::malformed, "the path does not end with an operation's name"});
    }
    const auto report = changes_.settle(operation_id{operation});
    log_.write(event_id::operation_settled, describe(report, ticket->author));
    return make_json_response(status_of(report), encode_json(report));
}

outcome<change_ticket> change_handler::read_ticket(const http_request& request)
{
    const auto author = operators_.find(find_header(request.headers, key_header));
    if (!author) {
        return failure{failure_code::permission, "no operator has this key"};
    }
    const auto operation = read_operation(request);
    if (!operation) {
        return operation.reason();
    }
    const auto seen = read_seen_version(request);
    if (!seen) {
        return seen.reason();
    }
    return change_ticket{*author, *operation, *seen};
}

http_response change_handler::refuse(const http_request& request, const failure& reason)
{
    const auto event = reason.code == failure_code::permission ? event_id::operator_rejected
                                                               : event_id::admin_request_malformed;
    log_.write(event, fmt::format("{} {}: {}", request.method, request.target, reason.message));
    return make_failure_response(reason);
}

http_response change_handler::answer(const apply_report& report, const change_ticket& ticket)
{
    log_.write(event_of(report), describe(report, ticket.author));
    return make_json_response(status_of(report), encode_json(report));
}

} // namespace savorywheel
