#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/http/caller_ledger.hpp>

#include <gtest/gtest.h>

#include <map>
#include <memory>

namespace savorywheel::test {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kib = 1024;
constexpr std::size_t memory = 1024 * kib;
const monotonic_time start = monotonic_time{} + 1h;

class fake_caller final : public evictable_caller {
public:
    explicit fake_caller(caller_ledger& ledger) : ledger_{ledger}, id_{ledger.add(*this, start)} {}

    void evict() override
    {
        evicted_ = true;
        ledger_.remove(id_);
    }

    [[nodiscard]] std::uint64_t id() const noexcept { return id_; }

    [[nodiscard]] bool evicted() const noexcept { return evicted_; }

    bool receive(std::size_t held, monotonic_time now)
    {
        ledger_.set_phase(id_, caller_phase::receiving);
        return ledger_.hold(id_, held, memory_need::request, now);
    }

private:
    caller_ledger& ledger_;
    std::uint64_t id_;
    bool evicted_{};
};

} // namespace

// Guards against an ordinary request that is refused because stalled bodies hold the memory.
TEST(caller_ledger, stalled_bodies_make_room_and_a_growing_one_is_refused)
{
    caller_ledger ledger{memory};
    fake_caller first{ledger};
    fake_caller second{ledger};
    fake_caller third{ledger};
    EXPECT_TRUE(first.receive(400 * kib, start));
    EXPECT_TRUE(second.receive(300 * kib, start));
    EXPECT_FALSE(third.receive(100 * kib, start));
    EXPECT_TRUE(third.receive(60 * kib, start));
    EXPECT_FALSE(first.evicted() || second.evicted());
    ledger.on_transferred(first.id(), caller_ledger::progress_bytes, start + 1s);
    ledger.on_transferred(second.id(), caller_ledger::progress_bytes - 1, start + 1s);
    EXPECT_TRUE(third.receive(100 * kib, start + 1s));
    EXPECT_TRUE(second.evicted());
    EXPECT_FALSE(first.evicted());
    EXPECT_EQ(ledger.held(), 500 * kib);
    ledger.remove(first.id());
    EXPECT_EQ(ledger.held(), 100 * kib);
}

// Guards against a count that drifts or exceeds the limit under random growth, progress and ends.
TEST(caller_ledger, never_holds_more_than_its_limit_and_counts_exactly)
{
    caller_ledger ledger{memory};
    seeded_random random{20261204};
    std::map<std::size_t, std::unique_ptr<fake_caller>> callers;
    std::map<std::size_t, std::size_t> held;
    auto now = start;
    for (int i = 0; i < 20'000; ++i) {
        now += std::chrono::milliseconds{random.below(100)};
        const auto key = random.below(40);
        auto& caller = callers[key];
        if (!caller || caller->evicted() || random.below(10) == 0) {
            if (caller) {
                ledger.remove(caller->id());
            }
            caller = std::make_unique<fake_caller>(ledger);
            held[key] = 0;
        }
        const auto phase = static_cast<caller_phase>(random.below(4));
        ledger.set_phase(caller->id(), phase);
        const auto bytes = random.below(300 * kib);
        const auto need = random.below(2) == 0 ? memory_need::request : memory_need::response;
        if (ledger.hold(caller->id(), bytes, need, now)) {
            held[key] = bytes;
        }
        EXPECT_FALSE(caller->evicted());
        std::size_t sum{};
        for (const auto& [other, item] : callers) {
            sum += item && !item->evicted() ? held[other] : 0;
        }
        ASSERT_EQ(ledger.held(), sum);
        ASSERT_LE(sum, memory);
    }
}

// Guards against a server whose places are all taken by clients that stopped.
TEST(caller_ledger, makes_room_for_a_connection)
{
    caller_ledger ledger{memory};
    fake_caller running{ledger};
    ledger.set_phase(running.id(), caller_phase::running);
    EXPECT_FALSE(ledger.make_room(start + 1h));
    fake_caller idle{ledger};
    EXPECT_FALSE(ledger.make_room(start));
    EXPECT_TRUE(ledger.make_room(start + 1s));
    EXPECT_TRUE(idle.evicted());
    EXPECT_FALSE(running.evicted());
}

} // namespace savorywheel::test
