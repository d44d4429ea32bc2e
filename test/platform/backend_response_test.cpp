#include <fmt/format.h>
#include <gtest/gtest.h>
#include <platform/header_names.hpp>
#include <support/gate_with_server.hpp>

namespace savorywheel::test {

namespace {

using platform::not_executed_header;
using platform::request_id_header;
using platform::signature_header;

const std::string signature = fmt::format("{}: 3e1b.07\r\n", signature_header);
const std::string not_executed = fmt::format("{}: 1\r\n", not_executed_header);

std::string names(std::string_view id)
{
    return fmt::format("{}: {}\r\n", request_id_header, id);
}

/** Response with a body of five bytes. */
std::string response(int status, std::string_view fields)
{
    return fmt::format("HTTP/1.1 {} x\r\nContent-Length: 5\r\n{}\r\nhello", status, fields);
}

} // namespace

TEST(backend_response, failure_without_signature_or_id_is_an_unknown_outcome)
{
    for (const int status : {302, 404, 413, 500}) {
        for (const auto& fields : {std::string{}, names("id-1"), signature}) {
            gate_with_server mesh{{{response(status, fields)}}};
            EXPECT_EQ(mesh.call("id-1").result, call_result::unknown) << status << ' ' << fields;
            EXPECT_EQ(mesh.subject().responses(response_class::untrusted) +
                          mesh.subject().responses(response_class::unsigned_failure),
                      1U);
        }
    }
}

TEST(backend_response, failure_of_the_backend_server_is_forwarded)
{
    gate_with_server mesh{{{response(500, names("id-1") + signature)}}};
    const auto outcome = mesh.call("id-1");
    EXPECT_EQ(outcome.result, call_result::answered);
    EXPECT_EQ(outcome.response.status, 500);
    EXPECT_EQ(outcome.response.body, "hello");
    EXPECT_EQ(mesh.subject().responses(response_class::failure), 1U);
}

TEST(backend_response, bad_request_that_was_not_executed_is_forwarded_only_without_an_id)
{
    gate_with_server with_id{{{response(400, names("id-1") + not_executed)}}};
    EXPECT_EQ(with_id.call("id-1").result, call_result::not_run);
    gate_with_server without_id{{{response(400, not_executed)}}};
    const auto outcome = without_id.call("");
    EXPECT_EQ(outcome.result, call_result::answered);
    EXPECT_EQ(outcome.response.status, 400);
}

TEST(backend_response, trailer_fields_prove_nothing)
{
    const auto chunked = [](std::string_view fields, std::string_view trailer) {
        return fmt::format("HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n{}\r\n"
                           "5\r\nhello\r\n0\r\n{}\r\n",
                           fields, trailer);
    };
    const auto proof = names("id-1") + signature;
    EXPECT_EQ(gate_with_server{{{chunked(proof, "")}}}.call("id-1").result, call_result::answered);
    EXPECT_EQ(gate_with_server{{{chunked("", proof)}}}.call("id-1").result, call_result::unknown);
    const auto outcome =
        gate_with_server{{{chunked(proof, not_executed + "A: 1\r\n")}}}.call("id-1");
    EXPECT_EQ(outcome.result, call_result::answered);
    EXPECT_EQ(find_header(outcome.response.headers, "A"), "");
}

} // namespace savorywheel::test
