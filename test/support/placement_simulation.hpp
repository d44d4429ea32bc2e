#ifndef SAVORYWHEEL_TEST_SUPPORT_PLACEMENT_SIMULATION_HPP
#define SAVORYWHEEL_TEST_SUPPORT_PLACEMENT_SIMULATION_HPP

#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/routing/route_endpoint.hpp>

#include <support/manual_clock.hpp>
#include <support/placement_result.hpp>
#include <support/placement_scenario.hpp>

#include <deque>
#include <memory>
#include <queue>
#include <vector>

namespace savorywheel::test {

/** @brief How the calls of a placement_simulation are placed. */
enum class placement_rule : std::uint8_t {
    /** @brief By the product's selector, without reports of work. */
    count,
    /** @brief By the product's selector, with reports of work and learned work of calls. */
    work,
    /** @brief By the actual work of all calls at all backend servers, without delay. */
    full_knowledge
};

/** @brief Places the same calls by one rule; the backend servers run them in order of arrival. */
class placement_simulation {
public:
    /**
     * @param scenario Service and traffic.
     * @param rule Rule under test.
     * @param seed Seed of the calls, which do not depend on the rule.
     */
    placement_simulation(const placement_scenario& scenario, placement_rule rule,
                         std::uint64_t seed);

    placement_simulation(const placement_simulation&) = delete;
    placement_simulation& operator=(const placement_simulation&) = delete;
    placement_simulation(placement_simulation&&) = delete;
    placement_simulation& operator=(placement_simulation&&) = delete;
    ~placement_simulation();

    /** @brief Runs all calls. */
    [[nodiscard]] placement_result run();

private:
    struct proxy;
    struct server;
    struct placed_call;
    struct event;

    void generate(std::uint64_t seed);
    void place(std::size_t call);
    void arrive(std::size_t call);
    void finish(std::size_t call);
    void respond(std::size_t call);
    void start_waiting(server& target);
    [[nodiscard]] std::size_t select(const placed_call& call);
    [[nodiscard]] std::size_t best_by_full_knowledge(const placed_call& call);
    [[nodiscard]] std::chrono::microseconds remaining_work(const server& target) const;
    [[nodiscard]] placement_result result() const;

    placement_scenario scenario_;
    placement_rule rule_;
    manual_clock time_;
    seeded_random random_;
    std::vector<route_endpoint> endpoints_;
    std::vector<std::unique_ptr<proxy>> proxies_;
    std::vector<server> servers_;
    std::vector<placed_call> calls_;
    std::priority_queue<event> events_;
};

} // namespace savorywheel::test

#endif
