#ifndef SAVORYWHEEL_APPS_LOAD_NODE_LOG_OBSERVER_HPP
#define SAVORYWHEEL_APPS_LOAD_NODE_LOG_OBSERVER_HPP

#include <load/bench_mesh.hpp>
#include <load/convergence_observer.hpp>
#include <load/log_follower.hpp>

#include <fstream>
#include <memory>
#include <vector>

namespace savorywheel::load {

/** @brief Observes convergence of all nodes through their logs. */
class node_log_observer final : public convergence_observer {
public:
    /** @param mesh Mesh whose node logs are followed. */
    explicit node_log_observer(const bench_mesh& mesh);

    [[nodiscard]] std::optional<calendar_time> converged_at(config_version version) override;

private:
    std::vector<std::unique_ptr<std::ifstream>> files_;
    std::vector<log_follower> followers_;
};

} // namespace savorywheel::load

#endif
