#include <savorywheel/node/peer_delivery.hpp>

#include <gtest/gtest.h>
#include <support/manual_clock.hpp>

namespace savorywheel::test {

namespace {

using std::chrono::milliseconds;

/** Connection whose first messages are lost with it; the others are acknowledged. */
class losing_connection final : public frame_sink {
public:
    explicit losing_connection(int losses) : losses_{losses} {}

    bool send(frame_kind /*kind*/, std::uint64_t correlation,
              std::span<const std::byte> /*payload*/) override
    {
        ++sent_;
        last_ = correlation;
        return sent_ > losses_;
    }

    void close() override {}

    [[nodiscard]] int sent() const noexcept { return sent_; }

    [[nodiscard]] std::uint64_t last() const noexcept { return last_; }

private:
    int losses_;
    int sent_{};
    std::uint64_t last_{};
};

class single_peer_network final : public peer_network {
public:
    explicit single_peer_network(std::shared_ptr<losing_connection> connection)
        : connection_{std::move(connection)}
    {
    }

    [[nodiscard]] std::shared_ptr<frame_sink>
    connection_to(const network_endpoint& /*peer*/) override
    {
        return connection_;
    }

private:
    std::shared_ptr<losing_connection> connection_;
};

struct delivery_fixture {
    explicit delivery_fixture(int losses) : connection{std::make_shared<losing_connection>(losses)}
    {
    }

    void send()
    {
        subject.send({"10.0.0.1", 7600}, frame_kind::departure_copy, {},
                     [this] { ++acknowledged; });
    }

    void advance(milliseconds length)
    {
        constexpr milliseconds step{100};
        for (milliseconds passed{}; passed < length; passed += step) {
            time.advance(step);
            loop.run_pending();
        }
    }

    manual_clock time;
    control_loop loop{time};
    std::shared_ptr<losing_connection> connection;
    single_peer_network network{connection};
    request_client requests;
    peer_delivery subject{{loop, network, requests}};
    int acknowledged{};
};

} // namespace

TEST(peer_delivery, message_that_is_lost_with_its_connection_is_sent_again)
{
    constexpr int losses = 3;
    delivery_fixture fixture{losses};
    fixture.send();
    fixture.advance(milliseconds{3000});
    EXPECT_EQ(fixture.connection->sent(), losses + 1);
    EXPECT_EQ(fixture.acknowledged, 0);
    fixture.requests.on_frame(fixture.connection, frame_kind::departure_copied,
                              fixture.connection->last(), {});
    fixture.loop.run_pending();
    EXPECT_EQ(fixture.acknowledged, 1);
    EXPECT_EQ(fixture.subject.pending(), 0U);
}

TEST(peer_delivery, message_to_a_dead_peer_is_given_up)
{
    constexpr int losses = 1000;
    delivery_fixture fixture{losses};
    fixture.send();
    fixture.advance(milliseconds{30'000});
    EXPECT_EQ(fixture.subject.pending(), 0U);
    EXPECT_EQ(fixture.acknowledged, 0);
    EXPECT_LE(fixture.connection->sent(), 20);
}

} // namespace savorywheel::test
