#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/transport/frame_header.hpp>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <support/local_mesh.hpp>
#include <support/wait_until.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace savorywheel::test {

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr std::size_t connections = 40;
constexpr std::size_t datagrams = 200;
constexpr long allowed_growth_pages = 8L * 1024 * 1024 / 4096;

sockaddr_in to_sockaddr(const network_endpoint& endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    ::inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    return address;
}

int connect_socket(int kind, const network_endpoint& endpoint)
{
    const int socket = ::socket(AF_INET, kind, 0);
    const auto address = to_sockaddr(endpoint);
    EXPECT_EQ(::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
    return socket;
}

std::vector<std::byte> random_bytes(random_source& random, std::size_t size)
{
    std::vector<std::byte> bytes(size);
    for (auto& item : bytes) {
        item = static_cast<std::byte>(random.below(256));
    }
    return bytes;
}

long resident_pages(pid_t process)
{
    std::ifstream file{"/proc/" + std::to_string(process) + "/statm"};
    long size{};
    long resident{};
    file >> size >> resident;
    return resident;
}

bool log_contains(const local_mesh& mesh, const std::string& event)
{
    std::ifstream file{mesh.folder() / "a1.log"};
    std::stringstream text;
    text << file.rdbuf();
    return text.str().find(event) != std::string::npos;
}

/** Sends headers that announce the largest payload on many connections, without the payload. */
std::vector<int> send_large_frame_headers(const network_endpoint& peer)
{
    const auto header = encode_header({max_frame_bytes, frame_kind::commit_push, 1});
    std::vector<int> sockets;
    for (std::size_t i = 0; i < connections; ++i) {
        sockets.push_back(connect_socket(SOCK_STREAM, peer));
        EXPECT_GT(::send(sockets.back(), header.data(), header.size(), MSG_NOSIGNAL), 0);
    }
    return sockets;
}

/** True if the peer closes the connection within 5 s. */
bool closed_by_peer(int socket)
{
    timeval timeout{5, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    std::array<char, 64> ignored{};
    ssize_t size{};
    do {
        size = ::recv(socket, ignored.data(), ignored.size(), 0);
    } while (size > 0);
    return size == 0 || errno == ECONNRESET;
}

} // namespace

// Guards against crashes and unbounded memory on malformed peer input: random bytes, random
// payloads and datagrams, and frames whose payload is announced but never arrives.
TEST(proof_peer_input, malformed_input_is_rejected_and_the_node_keeps_running)
{
    local_mesh mesh{24, {{"a1", "a-1", "north", "bookdesk"}}};
    ASSERT_TRUE(mesh.wait_for_members());
    const auto peer = mesh.peer_endpoint(0);
    const auto before = resident_pages(mesh.node(0).id());
    seeded_random random{seed};
    for (std::size_t i = 0; i < connections; ++i) {
        const int socket = connect_socket(SOCK_STREAM, peer);
        auto bytes = random_bytes(random, 1000);
        if (i % 2 == 0) {
            const auto header = encode_header({100, frame_kind::commit_push, i});
            std::ranges::copy(header, bytes.begin());
        }
        ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        EXPECT_TRUE(closed_by_peer(socket));
        ::close(socket);
    }
    const int datagram_socket = connect_socket(SOCK_DGRAM, peer);
    for (std::size_t i = 0; i < datagrams; ++i) {
        const auto bytes = random_bytes(random, random.below(3000));
        ::send(datagram_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    ::close(datagram_socket);
    const auto sockets = send_large_frame_headers(peer);
    EXPECT_TRUE(wait_until([&] { return log_contains(mesh, "SW2010"); }));
    EXPECT_TRUE(wait_until([&] { return log_contains(mesh, "SW2011"); }));
    const auto memory_has_grown = [&] {
        return resident_pages(mesh.node(0).id()) > before + allowed_growth_pages;
    };
    EXPECT_FALSE(wait_until(memory_has_grown, std::chrono::milliseconds{1000}));
    for (const int socket : sockets) {
        EXPECT_TRUE(closed_by_peer(socket));
        ::close(socket);
    }
    EXPECT_TRUE(mesh.state(0));
    EXPECT_TRUE(mesh.node(0).running());
}

} // namespace savorywheel::test
