#include <savorywheel/http/request_reader.hpp>
#include <savorywheel/http/request_target.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace savorywheel {

namespace {

/** What ulfius does not pass on of a request. */
struct request_source {
    /** Target as received, without decoding. */
    std::string target;
    MHD_Connection* connection{};
};

/** Request that the thread of this connection reads. */
thread_local request_source current_source;

std::string_view trim_trailing_space(std::string_view value)
{
    return value.substr(0, value.find_last_not_of(" \t") + 1);
}

MHD_Result add_header(void* headers, MHD_ValueKind /*kind*/, const char* name,
                      std::size_t name_size, const char* value, std::size_t value_size)
{
    static_cast<std::vector<http_header>*>(headers)->push_back(
        {{name, name_size}, std::string{trim_trailing_space({value, value_size})}});
    return MHD_YES;
}

/** Reads the fields in their order, also repeated ones, which ulfius merges. */
std::vector<http_header> headers_of(MHD_Connection* connection)
{
    std::vector<http_header> headers;
    MHD_get_connection_values_n(connection, MHD_HEADER_KIND, &add_header, &headers);
    return headers;
}

} // namespace

void* request_reader::on_target(void* context, const char* target, MHD_Connection* connection)
{
    current_source = {target, connection};
    return ulfius_uri_logger(context, target);
}

http_request request_reader::read(const _u_request& source)
{
    http_request request;
    request.method = source.http_verb != nullptr ? source.http_verb : "";
    request.target = current_source.target;
    request.headers = headers_of(current_source.connection);
    make_origin_form(request);
    if (source.binary_body != nullptr) {
        request.body.assign(static_cast<const char*>(source.binary_body),
                            source.binary_body_length);
    }
    return request;
}

} // namespace savorywheel
