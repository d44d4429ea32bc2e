#ifndef SAVORYWHEEL_APPS_LOAD_BENCH_MESH_HPP
#define SAVORYWHEEL_APPS_LOAD_BENCH_MESH_HPP

#include <savorywheel/admin/change_report.hpp>
#include <savorywheel/http/curl_http_client.hpp>

#include <load/bench_member.hpp>
#include <load/deployment.hpp>
#include <load/measure_options.hpp>
#include <load/metric_snapshot.hpp>
#include <standin/support/child_process.hpp>

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace savorywheel::load {

/**
 * @brief Mesh of real processes on loopback addresses; ends only the processes that it started.
 *
 * The third octet of an address is the region, from which the stand-in nodes derive the delay of
 * a message.
 */
class bench_mesh {
public:
    /**
     * @brief Starts the platform stand-in, the nodes and the backend stand-ins.
     * @param options Number of nodes, address range, output folder and delay between regions.
     * @param layout Failure domains, services and slots.
     */
    bench_mesh(const measure_options& options, deployment layout);
    bench_mesh(const bench_mesh&) = delete;
    bench_mesh& operator=(const bench_mesh&) = delete;
    bench_mesh(bench_mesh&&) = delete;
    bench_mesh& operator=(bench_mesh&&) = delete;
    ~bench_mesh();

    /** @return True once every node lists every member as alive with a serving backend server. */
    [[nodiscard]] bool wait_until_ready();

    /** @brief Stops a backend server gracefully and starts another version in its place. */
    void replace_backend(std::size_t index, const std::string& version);

    /** @brief Kills all nodes of a failure domain and restarts them together. */
    void restart_domain(const std::string& domain);

    /** @brief Applies a configuration text through a node. */
    [[nodiscard]] outcome<change_report> apply(std::size_t node, const std::string& text);

    /** @brief Sends an operator request, based on the current version, to the first node. */
    [[nodiscard]] outcome<http_response> send_operator_request(const std::string& method,
                                                               const std::string& target,
                                                               const std::string& body);

    [[nodiscard]] metric_snapshot node_metrics(std::size_t node);

    /** @return Metrics of the platform stand-in; empty if it does not respond. */
    [[nodiscard]] metric_snapshot platform_metrics();

    /** @return Nodes and their backend servers, ordered by node index. */
    [[nodiscard]] const std::vector<bench_member>& members() const noexcept { return members_; }

    [[nodiscard]] const deployment& layout() const noexcept { return layout_; }

    [[nodiscard]] network_endpoint platform() const;

    /** @return Path of a node's log file. */
    [[nodiscard]] std::filesystem::path node_log(std::size_t node) const;

    /** @return HTTP client used for all processes of the mesh. */
    [[nodiscard]] http_client& client() noexcept { return client_; }

private:
    [[nodiscard]] std::unique_ptr<standin::child_process>
    start(const std::string& program, std::vector<std::string> arguments, const std::string& name);
    void start_node(std::size_t index);
    void start_backend(std::size_t index);
    [[nodiscard]] std::string settings_text(const bench_member& member) const;
    [[nodiscard]] config_version current_version();
    [[nodiscard]] std::uint16_t port(unsigned offset) const noexcept;
    [[nodiscard]] metric_snapshot metrics(const network_endpoint& server);

    measure_options options_;
    deployment layout_;
    std::vector<bench_member> members_;
    curl_http_client client_;
    std::unique_ptr<standin::child_process> platform_;
    std::vector<std::unique_ptr<standin::child_process>> nodes_;
    std::vector<std::unique_ptr<standin::child_process>> backends_;
};

} // namespace savorywheel::load

#endif
