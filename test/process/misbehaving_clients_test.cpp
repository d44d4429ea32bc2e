#include <savorywheel/http/curl_http_client.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <support/client_load.hpp>
#include <support/local_mesh.hpp>
#include <support/wait_until.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <ostream>
#include <string>
#include <tuple>

namespace savorywheel::test {

namespace {

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = 1024 * kib;

// Settings of the node under test. The clients and the bounds below follow from them.
constexpr std::size_t max_connections = 40;
constexpr std::size_t memory_bytes = 4 * mib;
constexpr std::size_t body_bytes = 256 * kib;
constexpr std::uint32_t slots = 2;

constexpr std::chrono::milliseconds limit{5000};
constexpr std::size_t few_clients = 32;
/** More than the server has connections for. */
constexpr std::size_t many_clients = 60;
/** Text of a header within the server's limit of 40 KiB. */
constexpr std::size_t header_bytes = 39'000;

/**
 * A request that was passed on exists twice, as received and as the call to another node; 8 MiB
 * cover pages that a process touches first under load, as in proof_peer_input.
 */
constexpr std::size_t allowed_growth_bytes = 2 * memory_bytes + 8 * mib;
/** One descriptor for each caller and for each call at the backend server, and 8 for connections
 * that are accepted and closed at once, and for the control plane. */
constexpr std::size_t allowed_more_descriptors = max_connections + slots + 8;

constexpr const char* config_text = R"(failure_domains: [{name: east-1, region: east}]
services:
  - name: bookdesk
    routes: [{path: /book, deadline_ms: 2000}]
    versions: [{name: v1, weight: 100}]
)";

enum class target { route, no_route, readiness };

/** A kind of client: how many there are, and what they send to a path. */
struct client_kind {
    const char* name;
    std::size_t clients;
    std::function<client_plan(const std::string& path)> plan;
};

/** Keeps the bytes of the object out of the output of the tests. */
std::ostream& operator<<(std::ostream& output, const client_kind& kind)
{
    return output << kind.name;
}

std::string post(const std::string& path, const std::string& fields)
{
    return "POST " + path + " HTTP/1.1\r\nHost: bookdesk\r\n" + fields + "\r\n";
}

std::string with_length(const std::string& path, std::size_t size)
{
    return post(path, fmt::format("Content-Length: {}\r\n", size));
}

std::string chunked(const std::string& path)
{
    return post(path, "Transfer-Encoding: chunked\r\n");
}

std::string chunk(std::size_t size)
{
    return fmt::format("{:x}\r\n{}\r\n", size, std::string(size, 'x'));
}

/** A header of many short fields, without its end. */
std::string short_fields(const std::string& path)
{
    auto text = "POST " + path + " HTTP/1.1\r\nHost: bookdesk\r\nContent-Length: 0\r\n";
    while (text.size() < header_bytes) {
        text += "a:\r\n";
    }
    return text;
}

/** Requests whose responses are not read; each response of the route has the size of the body. */
client_plan unread_requests(const std::string& path, std::size_t size, std::size_t count)
{
    return {{}, with_length(path, size) + std::string(size, 'x'), count, 64 * kib, false};
}

const std::vector<client_kind>& kinds()
{
    using path = std::string;
    static const std::vector<client_kind> all{
        {"body_stops_short_in_one_write", few_clients,
         [](const path& p) {
             return client_plan{with_length(p, body_bytes) + std::string(body_bytes - 1, 'x')};
         }},
        {"body_stops_short_in_small_writes", few_clients,
         [](const path& p) {
             return client_plan{with_length(p, body_bytes), std::string(kib, 'x'),
                                body_bytes / kib - 1, kib};
         }},
        {"body_in_chunks_stops_short", few_clients,
         [](const path& p) {
             return client_plan{chunked(p), chunk(kib), body_bytes / kib - 1};
         }},
        {"body_far_over_the_limit", few_clients,
         [](const path& p) {
             return client_plan{with_length(p, 64 * mib), std::string(kib, 'x'), 8 * kib};
         }},
        {"body_in_chunks_far_over_the_limit", few_clients,
         [](const path& p) {
             return client_plan{chunked(p), chunk(8 * kib), kib};
         }},
        {"many_short_fields_without_an_end", few_clients,
         [](const path& p) { return client_plan{short_fields(p)}; }},
        {"pipelined_requests_with_many_short_fields", few_clients,
         [](const path& p) {
             return client_plan{{}, short_fields(p) + "\r\n", 64, 64 * kib, false};
         }},
        {"pipelined_requests_without_reading", few_clients,
         [](const path& p) { return unread_requests(p, 10, 2000); }},
        {"slow_readers_of_large_responses", few_clients,
         [](const path& p) { return unread_requests(p, body_bytes, 64); }},
        {"slow_senders_of_a_body", many_clients,
         [](const path& p) {
             return client_plan{with_length(p, body_bytes), "x", 200, 1};
         }},
        {"slow_senders_of_a_header", many_clients,
         [](const path& p) {
             return client_plan{"GET " + p + " HTTP/1.1\r\n", "a: b\r\n", 30, 1};
         }},
        {"half_a_header", many_clients,
         [](const path& p) { return client_plan{"GET " + p + " HTTP/1.1\r\nHost: book"}; }},
    };
    return all;
}

std::size_t peak_resident_bytes(pid_t process)
{
    std::ifstream file{fmt::format("/proc/{}/status", process)};
    std::string word;
    std::size_t size{};
    while (file >> word && word != "VmHWM:") {
    }
    file >> size;
    return size * kib;
}

std::size_t descriptors(pid_t process)
{
    const std::filesystem::directory_iterator folder{fmt::format("/proc/{}/fd", process)};
    return static_cast<std::size_t>(std::distance(begin(folder), end(folder)));
}

class misbehaving_clients : public testing::TestWithParam<std::tuple<target, client_kind>> {
protected:
    void SetUp() override
    {
        ASSERT_TRUE(mesh_.wait_for_members());
        const auto report = mesh_.apply(0, config_text);
        ASSERT_TRUE(report) << report.reason().message;
        ASSERT_TRUE(mesh_.wait_for_version(report->version));
        ASSERT_TRUE(wait_until([this] { return is_served(); }));
    }

    /** True if an ordinary request and a probe are answered, each on a connection of its own. */
    bool is_served()
    {
        curl_http_client client;
        const std::string body(100 * kib, 'b');
        const auto response = client.send(mesh_.traffic_endpoint(0),
                                          {"POST", "/book", {{"Host", "bookdesk"}}, body}, limit);
        const auto probe =
            client.send(mesh_.readiness_endpoint(0), {"GET", "/ready", {}, {}}, limit);
        return response && response->status == 200 && response->body == "POST /book\n" + body &&
               probe && probe->status == 200;
    }

    local_mesh mesh_{70,
                     {{"a1", "east-1", "east", "bookdesk", "v1", slots,
                       fmt::format("callers: {{connections: {}, memory_kib: {}, body_kib: {}}}\n",
                                   max_connections, memory_bytes / kib, body_bytes / kib)}}};
};

std::string name_of(const testing::TestParamInfo<std::tuple<target, client_kind>>& info)
{
    const auto& [where, kind] = info.param;
    const auto* place = where == target::route      ? "_on_a_route"
                        : where == target::no_route ? "_without_a_route"
                                                    : "_on_readiness";
    return std::string{kind.name} + place;
}

} // namespace

// Guards against a process that ends, or runs out of memory or descriptors, because of what clients
// send or do not read, and against ordinary clients that are no longer served beside them.
TEST_P(misbehaving_clients, the_process_stays_within_its_bounds_and_serves_others)
{
    const auto& [where, kind] = GetParam();
    const auto process = mesh_.node(0).id();
    const auto resident_before = peak_resident_bytes(process);
    const auto descriptors_before = descriptors(process);
    const auto server =
        where == target::readiness ? mesh_.readiness_endpoint(0) : mesh_.traffic_endpoint(0);
    client_load load{server, kind.clients, kind.plan(where == target::route ? "/book" : "/none")};
    EXPECT_TRUE(load.run()) << "the clients do not come to an end";
    EXPECT_TRUE(mesh_.node(0).running());
    EXPECT_LE(descriptors(process), descriptors_before + allowed_more_descriptors);
    EXPECT_TRUE(wait_until([this] { return is_served(); })) << "an ordinary request is not served";
    EXPECT_LE(peak_resident_bytes(process), resident_before + allowed_growth_bytes);
    EXPECT_TRUE(mesh_.node(0).running());
}

INSTANTIATE_TEST_SUITE_P(all, misbehaving_clients,
                         testing::Combine(testing::Values(target::route, target::no_route,
                                                          target::readiness),
                                          testing::ValuesIn(kinds())),
                         name_of);

} // namespace savorywheel::test
