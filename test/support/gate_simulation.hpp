#ifndef SAVORYWHEEL_TEST_SUPPORT_GATE_SIMULATION_HPP
#define SAVORYWHEEL_TEST_SUPPORT_GATE_SIMULATION_HPP

#include <savorywheel/traffic/gate_state.hpp>

#include <support/call_source.hpp>
#include <support/source_result.hpp>

#include <cstdint>
#include <queue>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace savorywheel::test {

/**
 * @brief Plays calls against the state of a gate without a network, in simulated time.
 *
 * Service times are log-normal with a spread of 0.65, and one call in 100 takes three times as
 * long. The first tenth of the time is not counted, while the gate learns the service times. A
 * refused call is not repeated.
 */
class gate_simulation {
public:
    /**
     * @param slots Concurrent calls of the backend server.
     * @param sources Calls to play.
     * @param length Simulated time.
     * @param seed Seed of all random draws.
     */
    gate_simulation(std::uint32_t slots, std::vector<call_source> sources,
                    std::chrono::seconds length, std::uint64_t seed);

    /** @brief Plays all calls. */
    void run();

    /** @return Sum of the results of the sources whose name starts with a prefix. */
    [[nodiscard]] source_result total(std::string_view prefix) const;

    /** @return Maximum number of requests that the backend server ran, given up or not. */
    [[nodiscard]] std::size_t max_at_server() const { return max_at_server_; }

    /** @brief Prints the results of the sources whose names start with the given ones. */
    void print(std::string_view title, std::span<const std::string_view> prefixes) const;

private:
    enum class step : std::uint8_t { finish, expire, arrive };
    using event = std::tuple<monotonic_time, step, std::size_t>;

    struct played_call {
        std::shared_ptr<gate_call> item;
        std::size_t source{};
        duration service{};
        bool counted{};
        bool ended{};
    };

    void add_calls(std::size_t source);
    void handle(step kind, std::size_t index);
    void arrive(std::size_t index);
    void start_calls();
    void finish(std::size_t index);
    void expire(std::size_t index);
    void refuse(const gate_call& item, bool with_time);
    void refuse_all(std::span<const gate_state::call_pointer> items);
    [[nodiscard]] source_result& result_of(const played_call& call);

    std::vector<call_source> sources_;
    duration length_;
    std::mt19937_64 random_;
    gate_state gate_;
    monotonic_time start_{std::chrono::seconds{100}};
    monotonic_time now_{start_};
    std::vector<played_call> calls_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    /** Ends of the requests at the backend server, which does not notice that one is given up. */
    std::vector<monotonic_time> at_server_;
    std::size_t max_at_server_{};
    std::vector<source_result> results_;
    source_result ignored_;
};

} // namespace savorywheel::test

#endif
