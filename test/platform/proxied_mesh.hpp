#ifndef SAVORYWHEEL_TEST_PLATFORM_PROXIED_MESH_HPP
#define SAVORYWHEEL_TEST_PLATFORM_PROXIED_MESH_HPP

#include <platform/metadata_store_server.hpp>
#include <support/blackhole_proxy.hpp>
#include <support/child_process.hpp>

#include <chrono>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace savorywheel::platform::test {

/**
 * @brief Node processes without backend servers, whose connections to the store pass a proxy.
 *
 * The nodes are distributed over three regions of two failure domains each.
 */
class proxied_mesh {
public:
    /**
     * @param node_count Number of nodes.
     * @param network Second number of the nodes' addresses; unique among tests that run in
     * parallel.
     * @param settings Additional lines of the nodes' settings.
     */
    proxied_mesh(int node_count, int network, std::string settings = {});
    proxied_mesh(const proxied_mesh&) = delete;
    proxied_mesh& operator=(const proxied_mesh&) = delete;
    proxied_mesh(proxied_mesh&&) = delete;
    proxied_mesh& operator=(proxied_mesh&&) = delete;
    ~proxied_mesh();

    /** @return Number of nodes. */
    [[nodiscard]] int node_count() const noexcept { return static_cast<int>(nodes_.size()); }

    /** @brief Makes the open connections to the store silent; new ones work. */
    void silence_connections() { proxy_.blackhole_open_connections(); }

    /** @brief Makes the store refuse all calls, or respond to them again. */
    void set_store_available(bool available) { store_.set_available(available); }

    /** @brief Ends a node without notice. */
    void kill_node(int node);

    /** @brief Writes a configuration with the given route beside the first one. */
    void add_route(int version, const std::string& prefix);

    /** @brief Writes a configuration, a JSON object with "spec". */
    void put_configuration(const json& object) { store_.put("config", "main", object); }

    /** @return The store, whose requests and bytes can be read. */
    [[nodiscard]] const metadata_store_server& store() const noexcept { return store_; }

    /** @return A metric without labels of a node; zero if the node does not respond. */
    [[nodiscard]] std::uint64_t metric(int node, const std::string& name) const;

    /** @return Sum over all nodes of a metric without labels. */
    [[nodiscard]] std::uint64_t sum_of_metric(const std::string& name) const;
    /** @brief Writes a configuration with one tenant, one closed route and one public one. */
    void set_tenant(int version, const std::string& api_key);

    /** @return Status and body of a request with an API key. */
    [[nodiscard]] std::pair<int, std::string> request_with_key(int node, const std::string& path,
                                                               const std::string& api_key) const;
    /** @brief Saves a copy of the store's objects. */
    void back_up_store() { store_.back_up(); }

    /** @brief Restores the store from the copy. */
    void restore_store() { store_.restore(); }

    /** @return True if the store's directory has an entry of the node. */
    [[nodiscard]] bool has_entry(int node);

    /** @brief Starts a node that was killed. */
    void restart_node(int node);

    /** @return Status of an announcement of a server at a node; zero without a response. */
    [[nodiscard]] int announce_server(int node, const std::string& identity,
                                      const std::string& state, std::uint64_t sequence) const;

    /** @return Status of a deregistration of a server at a node; zero without a response. */
    [[nodiscard]] int deregister_server(int node, const std::string& identity) const;

    /** @return True if a node has a server in use. */
    [[nodiscard]] bool has_server(int node) const
    {
        return metric(node, "savorywheel_gate_slots") > 0;
    }

    /** @brief Writes a configuration with one tenant, whose key is "key-1". */
    void add_tenant(int version, double rate, double burst);

    /** @return Number of lines of an event, such as "SW2001", in the logs of all nodes. */
    [[nodiscard]] std::size_t count_events(const std::string& event) const;

    /** @return Status of a request with the API key of the tenant. */
    [[nodiscard]] int status_with_key(int node, const std::string& path) const;

    /** @return Status of a request; 503 for a route without a backend server, 404 for none. */
    [[nodiscard]] int status_of(int node, const std::string& path) const;

    /** @return Number of running nodes that refuse requests for the path as unknown. */
    [[nodiscard]] int count_refusals(const std::string& path) const;

    /** @return When the version came into force at a node, by the node's log. */
    [[nodiscard]] std::optional<std::chrono::system_clock::time_point>
    in_force_at(int node, int version) const;

private:
    /** @return Status of a call to the interface for servers; zero without a response. */
    [[nodiscard]] int call_control(int node, const std::string& method, const std::string& identity,
                                   const std::string& body) const;
    [[nodiscard]] std::string address_of(int node) const;
    [[nodiscard]] std::unique_ptr<savorywheel::test::child_process> start_node(int node) const;
    [[nodiscard]] std::filesystem::path log_of(int node) const;

    int network_;
    std::string settings_;
    metadata_store_server store_;
    savorywheel::test::blackhole_proxy proxy_{store_.endpoint()};
    std::filesystem::path folder_;
    std::vector<std::unique_ptr<savorywheel::test::child_process>> nodes_;
};

} // namespace savorywheel::platform::test

#endif
