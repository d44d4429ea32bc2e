#ifndef SAVORYWHEEL_TEST_QUOTA_QUOTA_FAULT_SIMULATION_HPP
#define SAVORYWHEEL_TEST_QUOTA_QUOTA_FAULT_SIMULATION_HPP

#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/quota/quota_ledger.hpp>
#include <savorywheel/quota/tenant_limits.hpp>
#include <savorywheel/quota/token_stock.hpp>

#include <chrono>
#include <deque>
#include <optional>
#include <vector>

namespace savorywheel::test {

/** @brief What happens in a quota_fault_simulation; probabilities in percent. */
struct quota_faults {
    unsigned loss{};
    unsigned duplicates{};
    unsigned not_run{};
    /** @brief Longest delay of a message. */
    std::chrono::milliseconds max_delay{};
    /** @brief Longest time until a request is refused that does not run. */
    std::chrono::milliseconds max_refusal_time{5000};
    /** @brief Mean time between crashes of the coordinator. */
    std::chrono::milliseconds coordinator_life{};
    /** @brief Mean time between pauses of a node, each up to 6 s. */
    std::chrono::milliseconds node_life{};
    double rate{};
    double burst{};
    /** @brief True if the nodes hoard tokens. */
    bool hoarding{};
    /** @brief Limits after half of the time, as a fraction of those before. */
    double later_fraction{1};
};

/**
 * @brief Nodes that hoard one tenant's tokens and use them at the same time, while messages, nodes
 * and coordinators fail.
 */
class quota_fault_simulation {
public:
    quota_fault_simulation(std::uint64_t seed, const quota_faults& faults);

    void run(std::chrono::milliseconds length);

    /** @return Most requests in a window beyond its bound; at most zero if the quota is kept. */
    [[nodiscard]] double worst_excess() const;

    [[nodiscard]] std::size_t accepted() const noexcept { return accepted_.size(); }

private:
    enum class phase : std::uint8_t {
        steady, /**< Requests arrive in small bursts. */
        idle,   /**< The bucket fills. */
        hoard,  /**< Requests tokens without using them. */
        more,   /**< The same, perhaps from another coordinator. */
        most,   /**< The same, perhaps from a third one. */
        last_phase = most
    };

    struct open_request {
        quota_request message;
        duration first_sent{};
        duration last_sent{};
    };

    struct node {
        token_stock stock{1};
        std::uint64_t session{};
        std::uint64_t sequence{};
        std::uint64_t last_ledger{};
        std::uint32_t last_time_ms{};
        std::uint32_t waiting{};
        std::optional<open_request> open;
        duration paused_until{};
    };

    struct message {
        duration due{};
        std::size_t node{};
        std::optional<quota_request> request;
        std::optional<quota_grant> grant;
    };

    struct running_request {
        duration ends{};
        std::size_t node{};
        std::uint64_t session{};
        quota_token token;
    };

    [[nodiscard]] bool chance(unsigned percent) { return random_.below(100) < percent; }
    [[nodiscard]] bool happens_once_in(std::chrono::milliseconds mean);
    [[nodiscard]] std::chrono::milliseconds up_to(std::chrono::milliseconds longest);
    void send(message item);
    void deliver();
    void deliver_to_coordinator(const message& item);
    void deliver_to_node(const message& item);
    void run_coordinator();
    void run_phase();
    void crash_coordinator();
    void run_node(std::size_t index);
    void use_tokens(std::size_t index);
    void accept(std::size_t index, const quota_token& token);
    void exchange(std::size_t index);
    void end_requests();
    [[nodiscard]] double bound(double fraction) const;

    quota_faults faults_;
    quota_settings settings_;
    seeded_random random_;
    duration now_{std::chrono::hours{1}};
    duration lowered_at_{duration::max()};
    tenant_limits limits_;
    phase phase_{phase::steady};
    duration phase_ends_{};
    unsigned not_run_{};
    std::vector<node> nodes_;
    std::deque<message> network_;
    std::optional<quota_ledger> ledger_;
    std::chrono::milliseconds wait_{};
    duration next_coordinator_{};
    std::deque<running_request> running_;
    std::vector<duration> accepted_;
};

} // namespace savorywheel::test

#endif
