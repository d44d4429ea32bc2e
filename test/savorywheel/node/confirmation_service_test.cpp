#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/node/confirmation_service.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <support/fixed_object_store.hpp>
#include <support/manual_clock.hpp>
#include <support/recording_event_log.hpp>
#include <support/wait_until.hpp>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace savorywheel::test {

namespace {

using namespace std::chrono_literals;

/** Decodes a configuration whose version is the document's number. */
struct number_decoder final : configuration_decoder {
    [[nodiscard]] std::string_view key() const noexcept override { return "config/main"; }
    [[nodiscard]] outcome<operator_configuration> decode(std::string_view document) const override
    {
        operator_configuration configuration;
        configuration.version = config_version{std::stoull(std::string{document})};
        return configuration;
    }
};

/** Codec of a mesh without orders. */
struct no_orders final : order_codec {
    [[nodiscard]] std::string_view prefix() const noexcept override { return "rollouts/"; }
    [[nodiscard]] outcome<decoded_order> decode(const stored_object& /*object*/) const override
    {
        return failure{failure_code::malformed, "no orders"};
    }
    [[nodiscard]] std::string status_key(const service_name& service) const override
    {
        return service.str();
    }
    [[nodiscard]] std::string encode_status(const rollout_order& /*order*/,
                                            move_status /*status*/) const override
    {
        return {};
    }
};

struct proof_listener final : membership_listener {
    void on_member_changed(const member_update& /*update*/) override {}
    void on_head_received(const network_endpoint& /*peer*/,
                          const configuration_head& /*head*/) override
    {
    }
    void on_proven(duration as_of) override
    {
        proven = as_of;
        version =
            documents == nullptr ? config_version{} : documents->documents().configuration.version;
    }

    std::optional<duration> proven;
    const document_service* documents{};
    /** Version of the documents when the time was proven. */
    config_version version;
};

struct silent_connection final : frame_sink {
    bool send(frame_kind /*kind*/, std::uint64_t /*correlation*/,
              std::span<const std::byte> /*payload*/) override
    {
        return true;
    }
    void close() override {}
};

/** Network that records which peers were asked. */
struct recording_network final : peer_network {
    [[nodiscard]] std::shared_ptr<frame_sink> connection_to(const network_endpoint& peer) override
    {
        asked.push_back(peer);
        return std::make_shared<silent_connection>();
    }

    std::vector<network_endpoint> asked;
};

struct recording_datagrams final : datagram_channel {
    void send(const network_endpoint& peer, std::span<const std::byte> payload) override
    {
        EXPECT_LE(payload.size(), 250U);
        sent.emplace_back(peer, *decode<confirmation_message>(payload));
    }

    std::vector<std::pair<network_endpoint, confirmation_message>> sent;
};

member_record make_record(std::size_t index)
{
    member_record record;
    record.id = node_id{fmt::format("n{:02}", index)};
    record.region = region_name{fmt::format("region-{}", index % 3)};
    record.peer = {"10.0.0.1", static_cast<std::uint16_t>(7000 + index)};
    record.incarnation = 1;
    return record;
}

/** Service of node 0 in a mesh of 18 nodes and three regions, with the configuration 9. */
class confirmation_service_test : public testing::Test {
protected:
    confirmation_service_test()
    {
        membership_sync_message others;
        for (std::size_t i = 1; i < 18; ++i) {
            others.members.push_back({make_record(i), member_status::alive});
        }
        static_cast<void>(members_.finish_sync(others));
        documents_.post_objects("config/main", std::vector{stored_object{"config/main", "9", 9}});
        loop_.run_pending();
        listener_.documents = &documents_;
        service_.start();
        service_.on_members_changed();
    }

    void advance_time(duration length)
    {
        time_.advance(length);
        loop_.run_pending();
    }

    [[nodiscard]] std::set<network_endpoint> receivers() const
    {
        std::set<network_endpoint> result;
        for (const auto& [peer, message] : datagrams_.sent) {
            result.insert(peer);
        }
        return result;
    }

    /** A confirmation of node 3, in the region of node 0, which node 6 passes on. */
    confirmation_message make_message(std::uint64_t version)
    {
        confirmation_message message;
        message.id = ++last_id_;
        message.origin = {make_record(3).id, make_record(3).region};
        message.origin_peer = make_record(3).peer;
        message.sender_peer = make_record(6).peer;
        message.age_ms = 20;
        message.revision = 50;
        message.head = {config_version{version}, config_version{version}, version};
        return message;
    }

    void receive(const confirmation_message& message)
    {
        EXPECT_TRUE(service_.on_datagram(encode(message)));
        loop_.run_pending();
    }

    std::uint64_t last_id_{};
    manual_clock time_;
    control_loop loop_{time_};
    event_quota quota_{loop_, 100, 1'000'000};
    seeded_random random_{1};
    fixed_object_store store_{{{"config/main", "12", 12}}};
    recording_network network_;
    recording_datagrams datagrams_;
    request_client requests_;
    recording_event_log log_;
    proof_listener listener_;
    std::vector<network_endpoint> pinged_;
    swim_agent members_{
        make_record(0),
        {},
        {},
        {time_, loop_.timers(), random_, listener_,
         [this](const auto& peer, const auto& /*message*/) { pinged_.push_back(peer); },
         [](const auto& /*peer*/, const auto& /*request*/) {}}};
    number_decoder decoder_;
    no_orders orders_;
    document_service documents_{decoder_,
                                orders_,
                                {loop_, quota_, random_, store_, network_, requests_, log_, [] {},
                                 [](bool /*reachable*/) {}, [] {}}};
    key_confirmation keys_;
    /** Of the node's settings in tests of the additional reads. */
    key_confirmation keys_limit_{5s};
    confirmation_service service_{
        {loop_, quota_, random_, store_, datagrams_, log_, members_, documents_, keys_}};
};

} // namespace

TEST_F(confirmation_service_test, check_reads_a_change_and_tells_it_to_both_trees)
{
    advance_time(2s);
    ASSERT_TRUE(wait_until([this] {
        loop_.run_pending();
        return !datagrams_.sent.empty();
    }));
    EXPECT_EQ(documents_.documents().configuration.version, config_version{12});
    // The other five nodes of the region in each tree, and a node of each other region.
    EXPECT_EQ(datagrams_.sent.size(), 14U);
    EXPECT_EQ(receivers().size(), 9U);
    for (const auto& [peer, message] : datagrams_.sent) {
        EXPECT_EQ(message.head, documents_.documents().head());
        EXPECT_EQ(message.origin.node, make_record(0).id);
    }
}

TEST_F(confirmation_service_test, passes_each_message_on_once_in_each_tree)
{
    const auto message = make_message(9);
    receive(message);
    receive(message);
    const auto first = datagrams_.sent.size();
    auto other = message;
    other.tree = spread_tree::second;
    receive(other);
    receive(other);
    const auto second = datagrams_.sent.size() - first;
    // Nodes 0, 3, 6, 9, 12 and 15 are one region, where only the origin has receivers.
    EXPECT_EQ(first + second, 0U);
    auto from_abroad = message;
    from_abroad.origin = {make_record(1).id, make_record(1).region};
    std::size_t entries = 0;
    for (std::uint64_t i = 0; i < 60; ++i) {
        from_abroad.origin.node = node_id{fmt::format("origin-{}", i)};
        from_abroad.id = 1000 + i;
        datagrams_.sent.clear();
        advance_time(500ms);
        receive(from_abroad);
        receive(from_abroad);
        EXPECT_TRUE(datagrams_.sent.empty() || datagrams_.sent.size() == 5);
        entries += datagrams_.sent.empty() ? 0 : 1;
    }
    EXPECT_GT(entries, 0U);
}

// Confirmations state an age that does not contain the time in the network, so they prove nothing.
TEST_F(confirmation_service_test, only_a_check_of_its_own_proves_a_time_to_the_node)
{
    for (int i = 0; i < 5; ++i) {
        advance_time(400ms);
        receive(make_message(9));
        EXPECT_EQ(listener_.proven, std::nullopt);
    }
    advance_time(2s);
    const auto sent_at = time_.since_boot();
    ASSERT_TRUE(wait_until([this] {
        loop_.run_pending();
        return listener_.proven.has_value();
    }));
    EXPECT_EQ(listener_.proven, sent_at);
    EXPECT_EQ(listener_.version, config_version{12});
}

TEST_F(confirmation_service_test, node_reads_the_store_itself_at_half_of_the_limit_of_the_keys)
{
    service_.stop();
    keys_limit_.advance(time_.since_boot());
    confirmation_service subject{
        {loop_, quota_, random_, store_, datagrams_, log_, members_, documents_, keys_limit_}};
    subject.start();
    const auto confirm = [&] {
        EXPECT_TRUE(subject.on_datagram(encode(make_message(9))));
        loop_.run_pending();
    };
    for (int i = 0; i < 6; ++i) {
        advance_time(400ms);
        confirm();
    }
    EXPECT_EQ(listener_.proven, std::nullopt);
    datagrams_.sent.clear();
    advance_time(100ms);
    ASSERT_TRUE(wait_until([this] {
        loop_.run_pending();
        return listener_.proven.has_value();
    }));
    EXPECT_TRUE(datagrams_.sent.empty());
    EXPECT_EQ(log_.count(event_id::keys_unconfirmed), 0U);
    subject.stop();
}

// Probes of random members alone made each node read the store every few seconds.
TEST_F(confirmation_service_test, node_asks_who_passed_a_confirmation_on_for_its_proven_time)
{
    service_.stop();
    keys_limit_.advance(time_.since_boot());
    confirmation_service subject{
        {loop_, quota_, random_, store_, datagrams_, log_, members_, documents_, keys_limit_}};
    subject.start();
    const auto confirm = [&] {
        pinged_.clear();
        EXPECT_TRUE(subject.on_datagram(encode(make_message(9))));
        loop_.run_pending();
    };
    advance_time(400ms);
    confirm();
    EXPECT_TRUE(pinged_.empty());
    advance_time(400ms);
    confirm();
    EXPECT_EQ(pinged_, std::vector{make_record(6).peer});
    subject.stop();
}

TEST_F(confirmation_service_test, loss_and_return_of_the_proven_time_are_logged)
{
    service_.stop();
    keys_limit_.advance(time_.since_boot());
    confirmation_service subject{
        {loop_, quota_, random_, store_, datagrams_, log_, members_, documents_, keys_limit_}};
    subject.start();
    time_.suspend(1min);
    advance_time(3s);
    EXPECT_EQ(log_.count(event_id::keys_unconfirmed), 1U);
    ASSERT_TRUE(wait_until([this] {
        loop_.run_pending();
        return listener_.proven.has_value();
    }));
    keys_limit_.advance(*listener_.proven);
    advance_time(2500ms);
    EXPECT_EQ(log_.count(event_id::keys_unconfirmed), 1U);
    EXPECT_EQ(log_.count(event_id::keys_confirmed), 1U);
    subject.stop();
}

// Checks of many nodes at the same time sent as many messages to every node.
TEST_F(confirmation_service_test,
       confirmations_that_say_the_same_at_the_same_time_are_passed_on_once)
{
    advance_time(500ms);
    auto message = make_message(9);
    message.origin.region = make_record(1).region;
    std::size_t passed_on = 0;
    for (std::uint64_t i = 0; i < 60; ++i) {
        message.origin.node = node_id{fmt::format("origin-{}", i)};
        message.id = 1000 + i;
        receive(message);
        passed_on += datagrams_.sent.size();
        datagrams_.sent.clear();
    }
    EXPECT_LE(passed_on, 5U);
    advance_time(500ms);
    for (std::uint64_t i = 0; i < 60; ++i) {
        message.head.digest = 100 + i;
        message.origin.node = node_id{fmt::format("origin-{}", i)};
        message.id = 2000 + i;
        receive(message);
    }
    EXPECT_GT(datagrams_.sent.size(), 10U);
}

TEST_F(confirmation_service_test, confirmation_of_others_defers_the_check)
{
    for (int i = 0; i < 20; ++i) {
        advance_time(400ms);
        receive(make_message(9));
    }
    advance_time(700ms);
    EXPECT_TRUE(std::ranges::none_of(datagrams_.sent, [](const auto& item) {
        return item.second.origin.node == make_record(0).id;
    }));
    EXPECT_EQ(log_.count(event_id::documents_unconfirmed), 0U);
}

TEST_F(confirmation_service_test, fetches_a_newer_head_from_its_sender_and_then_from_its_origin)
{
    advance_time(200ms);
    receive(make_message(15));
    advance_time(1s);
    advance_time(500ms);
    ASSERT_EQ(network_.asked.size(), 2U);
    EXPECT_EQ(network_.asked.at(0), make_record(6).peer);
    EXPECT_EQ(network_.asked.at(1), make_record(3).peer);
}

TEST_F(confirmation_service_test, first_watcher_announces_a_change_to_both_trees_at_once)
{
    service_.set_choice({watch_role::watcher, 0});
    service_.announce();
    advance_time(1ms);
    EXPECT_EQ(datagrams_.sent.size(), 14U);
    for (const auto& [peer, message] : datagrams_.sent) {
        EXPECT_EQ(message.purpose, confirmation_purpose::announce);
        EXPECT_EQ(message.head, documents_.documents().head());
    }
}

// Six watchers that hear the same change would send six messages to every node.
TEST_F(confirmation_service_test, later_watcher_is_silent_if_an_earlier_one_was_heard)
{
    service_.set_choice({watch_role::watcher, 3});
    service_.announce();
    advance_time(100ms);
    EXPECT_TRUE(datagrams_.sent.empty());
    auto message = make_message(9);
    message.purpose = confirmation_purpose::announce;
    message.head = documents_.documents().head();
    receive(message);
    advance_time(500ms);
    EXPECT_TRUE(datagrams_.sent.empty());
    // None of the earlier watchers was heard.
    documents_.post_objects("config/main", std::vector{stored_object{"config/main", "10", 10}});
    loop_.run_pending();
    service_.announce();
    advance_time(200ms);
    EXPECT_EQ(datagrams_.sent.size(), 14U);
}

// A watch proves nothing about the time of its response, so an announcement must not put off
// checks.
TEST_F(confirmation_service_test, announcement_fetches_the_documents_and_defers_no_check)
{
    for (int i = 0; i < 4; ++i) {
        advance_time(400ms);
        auto message = make_message(15);
        message.purpose = confirmation_purpose::announce;
        message.age_ms = 0;
        receive(message);
    }
    EXPECT_FALSE(network_.asked.empty());
    EXPECT_TRUE(wait_until([this] {
        loop_.run_pending();
        return documents_.documents().configuration.version == config_version{12};
    }));
}

TEST_F(confirmation_service_test, of_two_announcements_of_a_head_the_lower_origin_is_passed_on)
{
    confirmation_message low = make_message(15);
    low.purpose = confirmation_purpose::announce;
    auto high = low;
    high.origin.node = node_id{"n99"};
    high.id = 1000;
    announcement_filter filter;
    EXPECT_TRUE(filter.admit(high));
    EXPECT_TRUE(filter.admit(low));
    EXPECT_FALSE(filter.admit(high));
    low.tree = spread_tree::second;
    EXPECT_TRUE(filter.admit(low));
    high.head.digest = 99;
    EXPECT_TRUE(filter.admit(high));
}

TEST_F(confirmation_service_test, malformed_datagram_is_reported)
{
    auto bytes = encode(make_message(9));
    bytes.pop_back();
    EXPECT_EQ(service_.on_datagram(bytes).reason().code, failure_code::malformed);
}

TEST_F(confirmation_service_test, outdated_message_is_not_passed_on)
{
    auto message = make_message(15);
    message.age_ms = 60'000;
    receive(message);
    EXPECT_EQ(log_.count(event_id::peer_ahead), 0U);
}

} // namespace savorywheel::test
