#ifndef SAVORYWHEEL_APPS_LOAD_STORE_WATCHERS_HPP
#define SAVORYWHEEL_APPS_LOAD_STORE_WATCHERS_HPP

#include <savorywheel/core/seeded_random.hpp>

#include <load/bench_mesh.hpp>
#include <load/convergence_observer.hpp>
#include <load/store_watcher.hpp>

#include <memory>
#include <vector>

namespace savorywheel::load {

/** @brief The baseline of distribution: each node would watch the platform's service itself. */
class store_watchers final : public convergence_observer {
public:
    /**
     * @brief Starts a watcher in place of each node.
     * @param mesh The mesh.
     * @param region_delay Time of one way between regions.
     */
    store_watchers(const bench_mesh& mesh, duration region_delay);

    store_watchers(const store_watchers&) = delete;
    store_watchers& operator=(const store_watchers&) = delete;
    store_watchers(store_watchers&&) = delete;
    store_watchers& operator=(store_watchers&&) = delete;

    /** @brief Ends all watchers at one time, since each waits for the end of its watch. */
    ~store_watchers() override;

    [[nodiscard]] std::optional<calendar_time> converged_at(config_version version) override;

    /** @return Bytes of commits that the watchers received. */
    [[nodiscard]] std::uint64_t bytes() const;

private:
    seeded_random random_{1};
    std::vector<std::unique_ptr<store_watcher>> watchers_;
};

} // namespace savorywheel::load

#endif
