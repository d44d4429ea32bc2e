#include <fmt/format.h>
#include <gtest/gtest.h>
#include <platform/header_names.hpp>
#include <support/gate_with_server.hpp>
#include <support/wait_until.hpp>

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

std::string answer_to(std::string_view id)
{
    return response(200, names(id) + signature);
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

TEST(backend_response, refusal_that_names_the_request_is_believed_and_keeps_the_connection)
{
    gate_with_server mesh{{{answer_to("id-1"), false},
                           {response(503, names("id-2") + not_executed), false},
                           {response(421, names("id-3")), false},
                           {answer_to("id-4"), false}}};
    EXPECT_EQ(mesh.call("id-1").result, call_result::answered);
    EXPECT_EQ(mesh.call("id-2").result, call_result::not_run);
    EXPECT_EQ(mesh.call("id-3").result, call_result::not_run);
    EXPECT_EQ(mesh.call("id-4").result, call_result::answered);
    EXPECT_EQ(mesh.server().closed_connections(), 0U);
}

TEST(backend_response, refusal_without_an_id_is_believed_only_as_the_first_on_its_connection)
{
    for (const auto& refusal : {response(503, not_executed), response(421, "")}) {
        gate_with_server mesh{{{answer_to("id-1"), false},
                               {refusal, false},
                               {refusal, false},
                               {answer_to("id-4"), false}}};
        EXPECT_EQ(mesh.call("id-1").result, call_result::answered);
        EXPECT_EQ(mesh.call("id-2").result, call_result::unknown);
        EXPECT_TRUE(wait_until([&mesh] { return mesh.server().closed_connections() == 1; }));
        EXPECT_EQ(mesh.call("id-3").result, call_result::not_run);
        EXPECT_EQ(mesh.call("id-4").result, call_result::answered);
        EXPECT_TRUE(wait_until([&mesh] { return mesh.server().closed_connections() == 2; }));
    }
}

TEST(backend_response, repeated_refusal_does_not_end_the_next_request)
{
    for (const auto& fields : {names("id-1"), std::string{}}) {
        gate_with_server mesh{{{response(503, fields + not_executed), false},
                               {response(503, fields + not_executed) + answer_to("id-2"), false}}};
        EXPECT_EQ(mesh.call("id-1").result, call_result::not_run);
        // Without an id the second request goes out on a connection of its own.
        EXPECT_EQ(mesh.call("id-2").result,
                  fields.empty() ? call_result::not_run : call_result::unknown);
    }
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
