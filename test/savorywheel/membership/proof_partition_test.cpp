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

struct silent_listener final : membership_listener {
    void on_member_changed(const member_update& /*update*/) override {}
    void on_head_seen(const network_endpoint& /*peer*/, config_version /*head*/) override {}
};

/** Two regions of six nodes each, on a network that can be partitioned between them. */
class two_regions {
public:
    two_regions()
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

    void pass(std::chrono::milliseconds time)
    {
        for (auto passed = 0ms; passed < time; passed += 10ms) {
            clock_.advance(10ms);
            timers_.run_due();
            for (const auto& [receiver, bytes] : std::exchange(network_, {})) {
                agents_.at(receiver)->receive(*decode<membership_message>(bytes));
            }
        }
    }

    void cut(bool cut) noexcept { cut_ = cut; }

    /** Returns true if every node has the given number of live members in its table. */
    [[nodiscard]] bool each_knows(std::size_t living) const
    {
        return std::ranges::all_of(
            agents_, [&](const auto& agent) { return agent->table().live().size() == living; });
    }

    [[nodiscard]] std::size_t largest() const noexcept { return largest_; }

private:
    static std::size_t side_of(std::size_t index) { return index % 2; }

    [[nodiscard]] bool reaches(std::size_t from, std::size_t to) const
    {
        return !cut_ || side_of(from) == side_of(to);
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
    silent_listener listener_;
    bool cut_{};
    std::size_t largest_{};
    std::deque<std::pair<std::size_t, std::vector<std::byte>>> network_;
    std::vector<std::unique_ptr<swim_agent>> agents_;
};

} // namespace

TEST(proof_partition, regions_that_lost_each_other_meet_again)
{
    two_regions mesh;
    mesh.pass(10s);
    ASSERT_TRUE(mesh.each_knows(node_count));
    mesh.cut(true);
    mesh.pass(300s);
    ASSERT_TRUE(mesh.each_knows(node_count / 2));
    mesh.cut(false);
    mesh.pass(10s);
    EXPECT_TRUE(mesh.each_knows(node_count));
    EXPECT_LE(mesh.largest(), max_datagram_bytes);
}

} // namespace savorywheel::test
