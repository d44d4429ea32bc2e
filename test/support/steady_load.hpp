#ifndef SAVORYWHEEL_TEST_SUPPORT_STEADY_LOAD_HPP
#define SAVORYWHEEL_TEST_SUPPORT_STEADY_LOAD_HPP

#include <support/local_mesh.hpp>

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace savorywheel::test {

/** @brief Calls one service through some nodes in a closed loop until destroyed. */
class steady_load {
public:
    /**
     * @param mesh The mesh; must outlive the load.
     * @param nodes Indices of the nodes that receive the calls; one thread each.
     * @param service Service to call.
     * @param path Path of the requests.
     */
    steady_load(local_mesh& mesh, const std::vector<std::size_t>& nodes, std::string service,
                std::string path);
    steady_load(const steady_load&) = delete;
    steady_load& operator=(const steady_load&) = delete;
    steady_load(steady_load&&) = delete;
    steady_load& operator=(steady_load&&) = delete;
    ~steady_load();

    /** @return Number of responses so far from backend servers of the version. */
    [[nodiscard]] std::size_t responses_from_version(const std::string& version) const;

    /** @return Number of responses so far with a status of 500 or above. */
    [[nodiscard]] std::size_t failures() const;

    /** @return Number of responses so far. */
    [[nodiscard]] std::size_t calls() const;

private:
    void run(std::size_t node);
    void count(const http_response& response);

    local_mesh& mesh_;
    std::string service_;
    std::string path_;
    mutable std::mutex mutex_;
    std::condition_variable stop_requested_;
    bool stopping_{};
    std::size_t calls_{};
    std::size_t failures_{};
    std::vector<std::string> backends_;
    std::vector<std::thread> threads_;
};

} // namespace savorywheel::test

#endif
