#ifndef SAVORYWHEEL_TEST_SUPPORT_LOCAL_MESH_HPP
#define SAVORYWHEEL_TEST_SUPPORT_LOCAL_MESH_HPP

#include <savorywheel/admin/change_report.hpp>
#include <savorywheel/admin/node_state_dump.hpp>
#include <savorywheel/admin/status_report.hpp>
#include <savorywheel/http/curl_http_client.hpp>

#include <support/child_process.hpp>
#include <support/mesh_member.hpp>

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace savorywheel::test {

/** @brief Key of the operator whom local meshes know. */
inline constexpr const char* test_operator_key = "a-key-for-tests-only";

/**
 * @brief The whole system as processes on loopback: platform stand-in, nodes, backend stand-ins.
 *
 * The node at position i listens on 127.N.0.(i+1), where N is particular to the mesh.
 */
class local_mesh {
public:
    /**
     * @brief Starts the platform stand-in and one node with backend server per member.
     * @param network Second number of all addresses, from 1 to 254; one per test.
     * @param members The nodes.
     */
    local_mesh(unsigned network, std::vector<mesh_member> members);
    local_mesh(const local_mesh&) = delete;
    local_mesh& operator=(const local_mesh&) = delete;
    local_mesh(local_mesh&&) = delete;
    local_mesh& operator=(local_mesh&&) = delete;
    ~local_mesh();

    /** @brief Starts a node that was stopped or killed. */
    void start_node(std::size_t index);

    /** @brief Starts a backend server that was stopped or killed. */
    void start_backend(std::size_t index);

    /** @brief Starts the platform stand-in. */
    void start_platform();

    /** @return Process of a node. */
    [[nodiscard]] child_process& node(std::size_t index) { return *nodes_.at(index); }

    /** @return Process of a backend server. */
    [[nodiscard]] child_process& backend(std::size_t index) { return *backends_.at(index); }

    /** @return Number of nodes. */
    [[nodiscard]] std::size_t size() const noexcept { return members_.size(); }

    /** @brief Sends a text to a node as the test's operator. */
    [[nodiscard]] outcome<change_report> apply(std::size_t index, const std::string& text);

    /** @brief Sets an override that gives a version the whole traffic of a service. */
    [[nodiscard]] outcome<change_report> set_override(std::size_t index, const std::string& service,
                                                      const std::string& version,
                                                      const std::string& reason);

    /** @return State of a node. */
    [[nodiscard]] outcome<node_state_dump> state(std::size_t index);

    /** @return Status as a node reports it. */
    [[nodiscard]] outcome<status_report> status(std::size_t index);

    /** @return Answer to a caller's request through a node. */
    [[nodiscard]] outcome<http_response> call(std::size_t index, const std::string& service,
                                              http_request request);

    /** @brief Sets faults of the platform stand-in, as its /fault takes them. */
    void set_platform_fault(const std::string& query);

    /** @brief Changes the behaviour of a backend stand-in, as its /control takes it. */
    void control_backend(std::size_t index, const std::string& query);

    /** @return True once all nodes have the version, within the patience of wait_until(). */
    [[nodiscard]] bool wait_for_version(config_version version);

    /** @return True once all nodes know a serving backend server at each member. */
    [[nodiscard]] bool wait_for_members();

    /** @return Administration endpoint of a node. */
    [[nodiscard]] network_endpoint admin_endpoint(std::size_t index) const;

    /** @return Traffic endpoint of a node. */
    [[nodiscard]] network_endpoint traffic_endpoint(std::size_t index) const;

    /** @return Peer endpoint of a node. */
    [[nodiscard]] network_endpoint peer_endpoint(std::size_t index) const;

    /** @return Endpoint of the platform stand-in. */
    [[nodiscard]] network_endpoint platform_endpoint() const;

    /** @return Endpoint of a backend server. */
    [[nodiscard]] network_endpoint backend_endpoint(std::size_t index) const;

    /** @return HTTP client for what the other members do not cover. */
    [[nodiscard]] http_client& client() noexcept { return client_; }

    /** @return Folder of logs and settings; removed at the end unless a test failed. */
    [[nodiscard]] const std::filesystem::path& folder() const noexcept { return folder_; }

private:
    [[nodiscard]] std::string address(std::size_t index) const;
    [[nodiscard]] std::string settings_text(std::size_t index) const;
    [[nodiscard]] std::string log_path(const std::string& name) const;

    unsigned network_;
    std::vector<mesh_member> members_;
    std::filesystem::path folder_;
    curl_http_client client_;
    std::unique_ptr<child_process> platform_;
    std::vector<std::unique_ptr<child_process>> nodes_;
    std::vector<std::unique_ptr<child_process>> backends_;
};

} // namespace savorywheel::test

#endif
