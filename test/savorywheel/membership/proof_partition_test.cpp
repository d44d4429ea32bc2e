#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/membership/swim_agent.hpp>
#include <savorywheel/transport/datagram_channel.hpp>

#include <gtest/gtest.h>
#include <support/manual_clock.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <utility>

namespace savorywheel::test {

namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

constexpr std::size_t node_count = 12;

struct null_listener final : membership_listener {
    void on_member_changed(const member_update& /*update*/) override {}
    void on_head_received(const network_endpoint& /*peer*/,
                          const configuration_head& /*head*/) override
    {
    }
};

/** Two regions of six nodes each, on a network that can be partitioned between them. */
class two_region_mesh {
public:
    two_region_mesh()
    {
        for (std::size_t i = 0; i < node_count; ++i) {
            member_record record;
            record.id = node_id{"node-" + std::to_string(i)};
            record.region = region_name{side_of(i) == 0 ? "north" : "south"};
            record.peer = {"10.0.0.1", static_cast<std::uint16_t>(i + 1)};
            record.incarnation = 1;
            agents_.push_back(std::make_unique<swim_agent>(
                record, std::vector<network_endpoint>{{"10.0.0.1", 1}}, membership_settings{},
                swim_agent::environment{clock_, timers_, random_, listener_,
                                        [this, i](const auto& peer, const auto& message) {
                                            const auto bytes = encode(message);
                                            largest_ = std::max(largest_, bytes.size());
                                            send(i, peer.port - 1U, bytes);
                                        },
                                        [this, i](const auto& peer, const auto& request) {
                                            exchange(i, peer.port - 1U, request);
                                        }}));
        }
        for (auto& agent : agents_) {
            agent->start();
        }
    }

    void run_for(std::chrono::milliseconds time)
    {
        for (auto elapsed = 0ms; elapsed < time; elapsed += 10ms) {
            clock_.advance(10ms);
            timers_.run_due();
            for (const auto& [receiver, bytes] : std::exchange(network_, {})) {
                agents_.at(receiver)->receive(*decode<membership_message>(bytes));
            }
        }
    }

    void partition(bool partition) noexcept { partitioned_ = partition; }

    /** Returns true if every node has the given number of live members in its table. */
    [[nodiscard]] bool every_node_sees(std::size_t live_count) const
    {
        return std::ranges::all_of(
            agents_, [&](const auto& agent) { return agent->table().live().size() == live_count; });
    }

    [[nodiscard]] std::size_t largest() const noexcept { return largest_; }

private:
    static std::size_t side_of(std::size_t index) { return index % 2; }

    [[nodiscard]] bool reaches(std::size_t from, std::size_t to) const
    {
        return !partitioned_ || side_of(from) == side_of(to);
    }

    void send(std::size_t from, std::size_t to, const std::vector<std::byte>& bytes)
    {
        if (reaches(from, to)) {
            network_.emplace_back(to, bytes);
        }
    }

    void exchange(std::size_t from, std::size_t to, const membership_sync_message& request)
    {
        if (!reaches(from, to)) {
            return;
        }
        if (const auto last =
                agents_.at(from)->finish_sync(*agents_.at(to)->answer_sync(request))) {
            static_cast<void>(agents_.at(to)->answer_sync(*last));
        }
    }

    manual_clock clock_;
    timer_service timers_{clock_};
    seeded_random random_{20261204};
    null_listener listener_;
    bool partitioned_{};
    std::size_t largest_{};
    std::deque<std::pair<std::size_t, std::vector<std::byte>>> network_;
    std::vector<std::unique_ptr<swim_agent>> agents_;
};

} // namespace

TEST(proof_partition, regions_merge_after_the_partition_heals)
{
    two_region_mesh mesh;
    mesh.run_for(10s);
    ASSERT_TRUE(mesh.every_node_sees(node_count));
    mesh.partition(true);
    mesh.run_for(300s);
    ASSERT_TRUE(mesh.every_node_sees(node_count / 2));
    mesh.partition(false);
    mesh.run_for(10s);
    EXPECT_TRUE(mesh.every_node_sees(node_count));
    EXPECT_LE(mesh.largest(), max_datagram_bytes);
}

} // namespace savorywheel::test
