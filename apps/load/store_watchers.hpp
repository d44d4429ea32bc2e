#ifndef SAVORYWHEEL_APPS_LOAD_STORE_WATCHERS_HPP
#define SAVORYWHEEL_APPS_LOAD_STORE_WATCHERS_HPP

#include <savorywheel/core/seeded_random.hpp>

#include <load/bench_mesh.hpp>
#include <load/convergence_observer.hpp>
#include <load/store_watcher.hpp>

#include <memory>
#include <vector>

namespace savorywheel::load {

/** @brief Distribution baseline: every node watches the platform's store itself. */
class store_watchers final : public convergence_observer {
public:
    /**
     * @brief Starts one watcher per node.
     * @param mesh Mesh whose nodes and store are used.
     * @param region_delay One-way delay between regions.
     */
    store_watchers(const bench_mesh& mesh, duration region_delay);

    store_watchers(const store_watchers&) = delete;
    store_watchers& operator=(const store_watchers&) = delete;
    store_watchers(store_watchers&&) = delete;
    store_watchers& operator=(store_watchers&&) = delete;

    /** @brief Stops all watchers in parallel, since each waits for its pending watch to end. */
    ~store_watchers() override;

    [[nodiscard]] std::optional<calendar_time> converged_at(config_version version) override;

    /** @return Bytes of commits received by all watchers. */
    [[nodiscard]] std::uint64_t bytes() const;

private:
    seeded_random random_{1};
    std::vector<std::unique_ptr<store_watcher>> watchers_;
};

} // namespace savorywheel::load

#endif
