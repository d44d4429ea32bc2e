#include <savorywheel/admin/admin_headers.hpp>
#include <savorywheel/admin/admin_response.hpp>
#include <savorywheel/admin/change_handler.hpp>
#include <savorywheel/admin/operation_status.hpp>
#include <savorywheel/config/name_rules.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <fmt/format.h>

namespace savorywheel {

namespace {

admin_status status_of(const change_report& report)
{
    if (report.outcome == to_string(operation_status::accepted)) {
        return admin_status::ok;
    }
    return report.outcome == to_string(operation_status::unknown) ? admin_status::gateway_timeout
                                                                  : admin_status::conflict;
}

event_id event_of(const change_report& report)
{
    if (report.outcome == to_string(operation_status::accepted)) {
        return event_id::change_accepted;
    }
    return report.outcome == to_string(operation_status::unknown) ? event_id::change_outcome_unknown
                                                                  : event_id::change_refused;
}

std::string describe(const change_report& report, const author_name& author)
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
    const auto metadata = read_metadata(request);
    if (!metadata) {
        return refuse(request, metadata.reason());
    }
    return respond(changes_.apply_text(request.body, *metadata), *metadata);
}

http_response change_handler::set_override(const http_request& request, std::string_view service)
{
    const auto metadata = read_metadata(request);
    if (!metadata) {
        return refuse(request, metadata.reason());
    }
    const auto desired = read_override(request, service);
    if (!desired) {
        return refuse(request, desired.reason());
    }
    return respond(changes_.set_override(service_name{service}, *desired, *metadata), *metadata);
}

http_response change_handler::release_override(const http_request& request,
                                               std::string_view service)
{
    const auto metadata = read_metadata(request);
    if (!metadata) {
        return refuse(request, metadata.reason());
    }
    const auto desired = read_override(request, service);
    if (!desired) {
        return refuse(request, desired.reason());
    }
    return respond(changes_.release_override(service_name{service}, *desired, *metadata),
                   *metadata);
}

http_response change_handler::settle(const http_request& request, std::string_view operation)
{
    const auto metadata = read_metadata(request);
    if (!metadata) {
        return refuse(request, metadata.reason());
    }
    if (!is_key_segment(operation)) {
        return refuse(request,
                      {failure_code::malformed, "the path does not end with an operation's name"});
    }
    const auto report = changes_.settle(operation_id{operation});
    log_.write(event_id::operation_settled, describe(report, metadata->author));
    return make_json_response(status_of(report), encode_json(report));
}

outcome<change_metadata> change_handler::read_metadata(const http_request& request)
{
    const auto author = operators_.find(find_header(request.headers, key_header));
    if (!author) {
        return failure{failure_code::permission, "no operator has this key"};
    }
    const auto operation = read_operation(request);
    if (!operation) {
        return operation.reason();
    }
    const auto base_version = read_base_version(request);
    if (!base_version) {
        return base_version.reason();
    }
    return change_metadata{*author, *operation, *base_version};
}

http_response change_handler::refuse(const http_request& request, const failure& reason)
{
    const auto event = reason.code == failure_code::permission ? event_id::operator_rejected
                                                               : event_id::admin_request_malformed;
    log_.write(event, fmt::format("{} {}: {}", request.method, request.target, reason.message));
    return make_failure_response(reason);
}

http_response change_handler::respond(const change_report& report, const change_metadata& metadata)
{
    log_.write(event_of(report), describe(report, metadata.author));
    return make_json_response(status_of(report), encode_json(report));
}

} // namespace savorywheel
