#include <savorywheel/traffic/default_caller_header_codec.hpp>
#include <savorywheel/traffic/default_headers.hpp>

namespace savorywheel {

request_options default_caller_header_codec::read(const http_request& request) const
{
    request_options options;
    options.timeout = parse_timeout(find_header(request.headers, default_deadline_header));
    options.key = find_header_value(request.headers, default_key_header);
    return options;
}

void default_caller_header_codec::rewrite_headers(http_request& request) const
{
    std::erase_if(request.headers, [](const http_header& header) {
        return equal_ignoring_case(default_deadline_header, header.name);
    });
}

void default_caller_header_codec::set_tenant(http_request& request, const tenant_name& tenant) const
{
    replace_header(request.headers, default_key_header, {});
    replace_header(request.headers, default_tenant_header, tenant.str());
}

http_response default_caller_header_codec::reject(const rejection& cause) const
{
    const auto* outcome = cause.may_have_run() ? "unknown" : "not-run";
    return {cause.status(),
            {{std::string{default_outcome_header}, outcome}, {"Content-Type", "text/plain"}},
            cause.reason + "\n"};
}

} // namespace savorywheel
