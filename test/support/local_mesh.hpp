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

/** @brief Key of the only operator in the settings of local meshes. */
inline constexpr const char* test_operator_key = "a-key-for-tests-only";

/**
 * @brief Complete mesh of processes on loopback: platform stand-in, nodes and backend stand-ins.
 *
 * Node i listens on 127.N.0.(i+1), where N is the network number of the mesh.
 */
class local_mesh {
public:
    /**
     * @brief Starts the platform stand-in, the nodes and their backend servers.
     * @param network Second octet of all addresses, from 1 to 254; different in each test.
     * @param members The nodes, each with its backend server.
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

    [[nodiscard]] child_process& node(std::size_t index) { return *nodes_.at(index); }

    [[nodiscard]] child_process& backend(std::size_t index) { return *backends_.at(index); }

    [[nodiscard]] std::size_t size() const noexcept { return members_.size(); }

    /** @brief Applies a configuration text through a node, as the test's operator. */
    [[nodiscard]] outcome<change_report> apply(std::size_t index, const std::string& text);

    /** @brief Sets an override that routes all calls of a service to one version. */
    [[nodiscard]] outcome<change_report> set_override(std::size_t index, const std::string& service,
                                                      const std::string& version,
                                                      const std::string& reason);

    [[nodiscard]] outcome<node_state_dump> state(std::size_t index);

    /** @return Status of the mesh as the node reports it. */
    [[nodiscard]] outcome<status_report> status(std::size_t index);

    /** @brief Sends a caller's request to the traffic port of a node. */
    [[nodiscard]] outcome<http_response> call(std::size_t index, const std::string& service,
                                              http_request request);

    /** @brief Injects faults into the platform stand-in; the query is that of its /fault. */
    void set_platform_fault(const std::string& query);

    /** @brief Changes the behaviour of a backend stand-in; the query is that of its /control. */
    void control_backend(std::size_t index, const std::string& query);

    /** @return True once all nodes use at least the version; false after a timeout. */
    [[nodiscard]] bool wait_for_version(config_version version);

    /** @return True once all nodes list every backend server as alive and serving. */
    [[nodiscard]] bool wait_for_members();

    [[nodiscard]] network_endpoint admin_endpoint(std::size_t index) const;

    [[nodiscard]] network_endpoint traffic_endpoint(std::size_t index) const;

    [[nodiscard]] network_endpoint peer_endpoint(std::size_t index) const;

    [[nodiscard]] network_endpoint readiness_endpoint(std::size_t index) const;

    [[nodiscard]] network_endpoint platform_endpoint() const;

    [[nodiscard]] network_endpoint backend_endpoint(std::size_t index) const;

    /** @return HTTP client for requests without a member function of their own. */
    [[nodiscard]] http_client& client() noexcept { return client_; }

    /** @return Folder of logs and settings; removed on destruction unless a test failed. */
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
