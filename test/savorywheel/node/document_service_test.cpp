#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/encoding/document_answer_codec.hpp>
#include <savorywheel/node/document_datagrams.hpp>
#include <savorywheel/node/document_service.hpp>

#include <gtest/gtest.h>
#include <support/fixed_object_store.hpp>
#include <support/manual_clock.hpp>
#include <support/recording_event_log.hpp>
#include <support/wait_until.hpp>

#include <memory>
#include <vector>

namespace savorywheel::test {

namespace {

using namespace std::chrono_literals;

/** Decodes a configuration without routes whose version is ten times the document's number. */
struct number_decoder final : configuration_decoder {
    [[nodiscard]] std::string_view key() const noexcept override { return "config/main"; }
    [[nodiscard]] outcome<operator_configuration> decode(std::string_view document) const override
    {
        operator_configuration configuration;
        configuration.version = config_version{std::stoull(std::string{document}) * 10};
        return configuration;
    }
};

/** Decodes an order of the service that the document names. */
struct name_codec final : order_codec {
    [[nodiscard]] std::string_view prefix() const noexcept override { return "rollouts/"; }
    [[nodiscard]] outcome<decoded_order> decode(const stored_object& object) const override
    {
        rollout_order order;
        order.service = service_name{object.value};
        order.revision = object.revision;
        return decoded_order{std::move(order), {}};
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

/** Connection that records the requests for documents, or the responses. */
struct request_sink final : frame_sink {
    explicit request_sink(frame_kind kind_expected) : expected{kind_expected} {}

    bool send(frame_kind kind, std::uint64_t correlation,
              std::span<const std::byte> payload) override
    {
        EXPECT_EQ(kind, expected);
        correlations.push_back(correlation);
        last_payload.assign(payload.begin(), payload.end());
        return true;
    }
    void close() override {}

    frame_kind expected;
    std::vector<std::uint64_t> correlations;
    std::vector<std::byte> last_payload;
};

/** Network with a single connection, which records the peers that were asked. */
struct single_peer_network final : peer_network {
    [[nodiscard]] std::shared_ptr<frame_sink> connection_to(const network_endpoint& peer) override
    {
        peers.push_back(peer);
        return connection;
    }

    std::shared_ptr<request_sink> connection{
        std::make_shared<request_sink>(frame_kind::configuration_get)};
    std::vector<network_endpoint> peers;
};

struct recording_datagrams final : datagram_channel {
    void send(const network_endpoint& /*peer*/, std::span<const std::byte> payload) override
    {
        sent.push_back(*decode<document_datagram>(payload));
    }

    std::vector<document_datagram> sent;
};

/** Document service that has read the given objects, with a peer whose responses a test sends. */
class document_fixture {
public:
    explicit document_fixture(std::vector<stored_object> objects)
        : expected_{objects.size()}, store_{std::move(objects)}
    {
        service_.set_choice({watch_role::everyone, 0});
        service_.start();
        EXPECT_TRUE(wait_until([this] {
            loop_.run_pending();
            return healthy_ && documents_known() == expected_;
        }));
        // A watch that has just delivered objects has the first say.
        advance_time(1s);
    }

    document_fixture(const document_fixture&) = delete;
    document_fixture& operator=(const document_fixture&) = delete;
    document_fixture(document_fixture&&) = delete;
    document_fixture& operator=(document_fixture&&) = delete;

    ~document_fixture() { service_.stop(); }

    void advance_time(duration step)
    {
        time_.advance(step);
        loop_.run_pending();
    }

    /** Reports the head of the peer and waits longer than the delay before a fetch. */
    void report_head(const operator_documents& remote)
    {
        service_.on_head_received(peer_, remote.head());
        advance_time(500ms);
    }

    [[nodiscard]] const recording_event_log& log() const noexcept { return log_; }

    void set_role(watch_role role) { service_.set_choice({role, 0}); }

    /** Reports the head of a peer as a message along a tree does. */
    void report_head_by_tree(const network_endpoint& peer, const operator_documents& remote)
    {
        service_.on_head_received(peer, remote.head(), head_route::tree);
    }

    /** Reports the head of a peer without waiting. */
    void report_head(const network_endpoint& peer, const operator_documents& remote)
    {
        service_.on_head_received(peer, remote.head());
    }

    /** Receives a request of a peer that has the given documents. */
    std::shared_ptr<request_sink> receive_request(const operator_documents& known)
    {
        auto connection = std::make_shared<request_sink>(frame_kind::configuration_value);
        service_.on_frame(connection, frame_kind::configuration_get, 1, encode(known.request()));
        loop_.run_pending();
        return connection;
    }

    /** Delivers a configuration as a watch does. */
    void deliver(const stored_object& object)
    {
        service_.post_objects("config/main", {object});
        loop_.run_pending();
    }

    /** Delivers an order as a watch does. */
    void deliver_order(const stored_object& object)
    {
        service_.post_objects("rollouts/", {object});
        loop_.run_pending();
    }

    [[nodiscard]] const std::vector<network_endpoint>& asked() const noexcept
    {
        return network_.peers;
    }

    [[nodiscard]] int delays() const noexcept { return delays_; }

    void answer(std::uint64_t correlation, const operator_documents& remote)
    {
        answer(correlation, document_answer{remote, std::nullopt});
    }

    void answer(std::uint64_t correlation, const document_answer& remote)
    {
        requests_.on_frame(network_.connection, frame_kind::configuration_value, correlation,
                           encode_document_answer(remote));
        loop_.run_pending();
    }

    struct sent_datagram {
        network_endpoint peer;
        std::uint64_t request{};
        document_request base;
    };

    [[nodiscard]] const std::vector<sent_datagram>& datagrams() const noexcept
    {
        return datagrams_;
    }

    /** Receives a request in a datagram, and returns the answer. */
    std::vector<document_datagram> answer_in_datagrams(const document_request& request)
    {
        recording_datagrams channel;
        document_datagrams subject{{quota_, channel, service_, {"10.0.0.1", 7000}}};
        document_datagram message;
        message.id = 3;
        message.sender_peer = peer_;
        message.request = request;
        EXPECT_TRUE(subject.on_datagram(encode(message)));
        loop_.run_pending();
        return channel.sent;
    }

    void answer_datagram(std::uint64_t request, const operator_documents& remote)
    {
        service_.on_datagram_answer(request,
                                    encode_document_answer(document_answer{remote, std::nullopt}));
    }

    [[nodiscard]] const std::vector<std::uint64_t>& requests() const noexcept
    {
        return network_.connection->correlations;
    }

    [[nodiscard]] document_request last_request() const
    {
        return *decode<document_request>(network_.connection->last_payload);
    }

    [[nodiscard]] const document_counters& counters() const { return service_.counters(); }

    [[nodiscard]] const operator_documents& documents() const { return service_.documents(); }

private:
    [[nodiscard]] std::size_t documents_known() const
    {
        return (documents().revision == 0 ? 0 : 1) + documents().orders.size();
    }

    std::size_t expected_;
    fixed_object_store store_;
    manual_clock time_;
    control_loop loop_{time_};
    event_quota quota_{loop_, 100, 1'000'000};
    seeded_random random_{1};
    single_peer_network network_;
    request_client requests_;
    recording_event_log log_;
    number_decoder decoder_;
    name_codec codec_;
    network_endpoint peer_{"10.0.0.2", 7000};
    bool healthy_{};
    int delays_{};
    std::vector<sent_datagram> datagrams_;
    document_service service_{
        decoder_,
        codec_,
        {loop_, quota_, random_, store_, network_, requests_, log_, [] {},
         [this](bool reachable) { healthy_ = reachable; }, [this] { ++delays_; }, [] {},
         [this](const network_endpoint& peer, std::uint64_t request, const document_request& base) {
             datagrams_.push_back({peer, request, base});
         }}};
};

operator_documents make_documents(std::uint64_t configuration_revision,
                                  std::uint64_t order_revision)
{
    operator_documents documents;
    operator_configuration configuration;
    configuration.version = config_version{configuration_revision * 10};
    documents.merge(configuration, configuration_revision);
    rollout_order order;
    order.service = service_name{"bookdesk"};
    order.revision = order_revision;
    documents.merge(order);
    return documents;
}

/** @return What an answer with a difference holds beside it. */
operator_documents documents_without_configuration(std::uint64_t revision)
{
    operator_documents documents;
    documents.revision = revision;
    return documents;
}

} // namespace

TEST(document_service, fetches_from_a_peer_with_an_equal_revision_sum)
{
    document_fixture fixture{{{"config/main", "90", 90}, {"rollouts/bookdesk", "bookdesk", 15}}};
    const auto remote = make_documents(100, 5);
    fixture.report_head(remote);
    ASSERT_EQ(fixture.requests().size(), 1);
    fixture.answer(fixture.requests().front(), remote);
    EXPECT_EQ(fixture.documents().revision, 100);
    EXPECT_EQ(fixture.documents().orders.front().revision, 15);
    fixture.report_head(remote);
    EXPECT_EQ(fixture.requests().size(), 1);
}

TEST(document_service, fetches_a_newer_configuration_from_a_peer_with_older_orders)
{
    document_fixture fixture{{{"config/main", "90", 90}, {"rollouts/bookdesk", "bookdesk", 500}}};
    fixture.report_head(make_documents(100, 5));
    EXPECT_EQ(fixture.requests().size(), 1);
}

TEST(document_service, does_not_fetch_the_same_documents)
{
    document_fixture fixture{{{"config/main", "90", 90}, {"rollouts/bookdesk", "bookdesk", 15}}};
    fixture.report_head(make_documents(90, 15));
    fixture.report_head(make_documents(80, 5));
    EXPECT_TRUE(fixture.requests().empty());
}

TEST(document_service, fetches_again_if_a_response_does_not_arrive)
{
    document_fixture fixture{{{"config/main", "90", 90}}};
    const auto remote = make_documents(100, 101);
    fixture.report_head(remote);
    ASSERT_EQ(fixture.requests().size(), 1);
    fixture.report_head(remote);
    EXPECT_EQ(fixture.requests().size(), 1);
    fixture.advance_time(2s);
    fixture.report_head(remote);
    ASSERT_EQ(fixture.requests().size(), 2);
    fixture.answer(fixture.requests().front(), make_documents(95, 96));
    EXPECT_EQ(fixture.documents().revision, 90);
    fixture.answer(fixture.requests().back(), remote);
    EXPECT_EQ(fixture.documents().revision, 100);
}

// Issue 37: a peer that did not respond blocked the others for 2 s.
TEST(document_service, asks_another_peer_soon_if_one_does_not_respond)
{
    document_fixture fixture{{{"config/main", "90", 90}}};
    const auto remote = make_documents(100, 101);
    const network_endpoint first{"10.0.0.3", 7000};
    const network_endpoint second{"10.0.0.4", 7000};
    fixture.report_head(first, remote);
    fixture.report_head(second, remote);
    fixture.advance_time(100ms);
    EXPECT_EQ(fixture.asked(), std::vector{first});
    fixture.advance_time(400ms);
    EXPECT_EQ(fixture.asked(), (std::vector{first, second}));
    EXPECT_EQ(fixture.delays(), 1);
    fixture.answer(fixture.requests().back(), remote);
    EXPECT_EQ(fixture.documents().revision, 100);
    fixture.advance_time(5s);
    EXPECT_EQ(fixture.asked().size(), 2U);
    EXPECT_EQ(fixture.delays(), 1);
}

// Guards against changes that are late at a node behind a busy link (CONFIG on
// frigoporto-mesh-grown): its streams delivered nothing for seconds, and it asked for documents on
// streams only.
TEST(document_service, asks_in_a_datagram_once_a_stream_is_slow)
{
    document_fixture fixture{{{"config/main", "90", 90}}};
    const auto remote = make_documents(100, 101);
    const network_endpoint first{"10.0.0.3", 7000};
    const network_endpoint second{"10.0.0.4", 7000};
    const auto base = fixture.documents().request();
    fixture.report_head(first, remote);
    fixture.report_head(second, remote);
    fixture.advance_time(100ms);
    EXPECT_TRUE(fixture.datagrams().empty());
    fixture.advance_time(400ms);
    ASSERT_EQ(fixture.datagrams().size(), 2U);
    EXPECT_EQ(fixture.datagrams().front().peer, first);
    EXPECT_EQ(fixture.datagrams().back().peer, second);
    EXPECT_EQ(fixture.datagrams().back().base, base);
    fixture.answer_datagram(fixture.datagrams().back().request, remote);
    EXPECT_EQ(fixture.documents().revision, 100);
    // The late response on the stream changes nothing.
    fixture.answer(fixture.requests().back(), remote);
    fixture.advance_time(5s);
    EXPECT_EQ(fixture.datagrams().size(), 2U);
    EXPECT_EQ(fixture.asked().size(), 2U);
}

TEST(document_service, answers_a_request_in_a_datagram_only_if_it_has_something_newer)
{
    document_fixture fixture{{{"config/main", "90", 90}}};
    datagram_parts parts;
    std::optional<std::vector<std::byte>> whole;
    for (const auto& message : fixture.answer_in_datagrams({})) {
        EXPECT_LE(encode(message).size(), max_datagram_bytes);
        whole = parts.add(message);
    }
    ASSERT_TRUE(whole);
    const auto answer = decode_document_answer(*whole);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->documents.revision, 90U);
    EXPECT_TRUE(fixture.answer_in_datagrams(fixture.documents().request()).empty());
}

TEST(document_service, ignores_an_answer_in_a_datagram_that_it_has_not_asked_for)
{
    document_fixture fixture{{{"config/main", "90", 90}}};
    fixture.answer_datagram(7, make_documents(100, 101));
    EXPECT_EQ(fixture.documents().revision, 90);
}

TEST(document_service, merges_the_late_response_of_the_first_peer)
{
    document_fixture fixture{{{"config/main", "90", 90}}};
    const auto remote = make_documents(100, 101);
    fixture.report_head({"10.0.0.3", 7000}, remote);
    fixture.report_head({"10.0.0.4", 7000}, remote);
    fixture.advance_time(100ms);
    fixture.advance_time(400ms);
    ASSERT_EQ(fixture.requests().size(), 2U);
    fixture.answer(fixture.requests().front(), remote);
    EXPECT_EQ(fixture.documents().revision, 100);
}

TEST(document_service, asks_the_next_peer_at_once_after_a_response_without_the_documents)
{
    document_fixture fixture{{{"config/main", "90", 90}}};
    const auto remote = make_documents(100, 101);
    fixture.report_head({"10.0.0.3", 7000}, remote);
    fixture.report_head({"10.0.0.4", 7000}, remote);
    fixture.advance_time(100ms);
    fixture.answer(fixture.requests().front(), make_documents(90, 15));
    EXPECT_EQ(fixture.requests().size(), 2U);
}

TEST(document_service, does_not_fetch_what_a_watch_delivers_meanwhile)
{
    document_fixture fixture{{{"config/main", "90", 90}}};
    operator_documents remote;
    operator_configuration configuration;
    configuration.version = config_version{1000};
    remote.merge(configuration, 100);
    fixture.report_head({"10.0.0.3", 7000}, remote);
    fixture.deliver({"config/main", "100", 100});
    fixture.advance_time(5s);
    EXPECT_TRUE(fixture.asked().empty());
}

// A node that does not watch waited for its own watch, at each hop of a tree.
TEST(document_service, node_that_does_not_watch_fetches_from_its_parent_at_once)
{
    document_fixture fixture{{{"config/main", "90", 90}}};
    const network_endpoint prober{"10.0.0.3", 7000};
    const network_endpoint parent{"10.0.0.4", 7000};
    fixture.set_role(watch_role::follower);
    fixture.report_head(prober, make_documents(100, 101));
    fixture.advance_time(50ms);
    EXPECT_TRUE(fixture.asked().empty());
    fixture.report_head_by_tree(parent, make_documents(100, 101));
    fixture.advance_time(1ms);
    EXPECT_EQ(fixture.asked(), std::vector{parent});
}

// A watch on a silent connection waited for up to 26 s, and its node heard by its peers only.
TEST(document_service, watch_that_does_not_deliver_what_a_peer_had_is_renewed)
{
    document_fixture fixture{{{"config/main", "90", 90}}};
    const auto remote = make_documents(100, 101);
    fixture.report_head(remote);
    fixture.answer(fixture.requests().front(), remote);
    fixture.advance_time(1900ms);
    EXPECT_EQ(fixture.log().count(event_id::watch_renewed), 0U);
    fixture.advance_time(200ms);
    EXPECT_EQ(fixture.log().count(event_id::watch_renewed), 1U);
    fixture.advance_time(5s);
    EXPECT_EQ(fixture.log().count(event_id::watch_renewed), 1U);
}

// A configuration was never fetched while a working watch of the orders delivered changes.
TEST(document_service, orders_that_change_do_not_delay_the_fetch_of_a_configuration)
{
    document_fixture fixture{{{"config/main", "90", 90}, {"rollouts/bookdesk", "bookdesk", 15}}};
    fixture.report_head({"10.0.0.3", 7000}, make_documents(100, 15));
    for (std::uint64_t i = 0; i < 5; ++i) {
        fixture.advance_time(80ms);
        fixture.deliver_order({"rollouts/bookdesk", "bookdesk", 16 + i});
    }
    EXPECT_EQ(fixture.requests().size(), 1U);
}

// Issue 37: a change passed a node only after its own fetch had ended.
TEST(document_service, answers_a_peer_as_soon_as_its_own_fetch_ends)
{
    document_fixture fixture{{{"config/main", "90", 90}}};
    const auto remote = make_documents(100, 101);
    fixture.report_head({"10.0.0.3", 7000}, remote);
    const auto waiting = fixture.receive_request(make_documents(90, 15));
    EXPECT_TRUE(waiting->correlations.empty());
    const auto behind = fixture.receive_request(make_documents(80, 15));
    EXPECT_EQ(behind->correlations.size(), 1U);
    fixture.advance_time(100ms);
    fixture.answer(fixture.requests().front(), remote);
    ASSERT_EQ(waiting->correlations.size(), 1U);
    const auto answered = decode_document_answer(waiting->last_payload);
    ASSERT_TRUE(answered);
    EXPECT_EQ(answered->documents.revision, 100);
}

// Each node received the whole configuration for each change of one route.
TEST(document_service, peer_with_a_known_configuration_gets_the_difference)
{
    document_fixture fixture{{{"config/main", "90", 90}}};
    fixture.deliver({"config/main", "100", 100});
    const auto known = fixture.receive_request(make_documents(90, 15));
    ASSERT_EQ(known->correlations.size(), 1U);
    auto answered = decode_document_answer(known->last_payload);
    ASSERT_TRUE(answered);
    ASSERT_TRUE(answered->delta);
    EXPECT_EQ(answered->delta->base_revision, 90);
    EXPECT_EQ(answered->documents.revision, 100);
    EXPECT_EQ(answered->documents.configuration.version, config_version{});
    // A requester without a configuration, or with one that this node never had.
    for (const auto& requester : {operator_documents{}, make_documents(80, 15)}) {
        const auto unknown = fixture.receive_request(requester);
        answered = decode_document_answer(unknown->last_payload);
        ASSERT_TRUE(answered);
        EXPECT_FALSE(answered->delta);
        EXPECT_EQ(answered->documents.configuration.version, config_version{1000});
    }
    EXPECT_EQ(fixture.counters().delta_answers, 1U);
    EXPECT_EQ(fixture.counters().whole_answers, 2U);
}

TEST(document_service, difference_from_another_configuration_is_refused_and_the_whole_one_fetched)
{
    document_fixture fixture{{{"config/main", "90", 90}}};
    const auto remote = make_documents(100, 101);
    fixture.report_head(remote);
    ASSERT_EQ(fixture.requests().size(), 1U);
    document_answer wrong{
        documents_without_configuration(100),
        make_configuration_delta(make_documents(80, 1).configuration, 80, remote.configuration)};
    fixture.answer(fixture.requests().back(), wrong);
    fixture.advance_time(1ms);
    EXPECT_EQ(fixture.documents().revision, 90);
    EXPECT_EQ(fixture.log().count(event_id::document_delta_refused), 1U);
    ASSERT_EQ(fixture.requests().size(), 2U);
    EXPECT_EQ(fixture.last_request(), document_request{});
    // A peer that insists is not asked forever.
    fixture.answer(fixture.requests().back(), wrong);
    fixture.advance_time(10s);
    EXPECT_EQ(fixture.requests().size(), 2U);
    fixture.report_head(remote);
    fixture.answer(fixture.requests().back(), remote);
    EXPECT_EQ(fixture.documents().revision, 100);
}

TEST(document_service, difference_from_a_configuration_replaced_meanwhile_is_asked_for_again)
{
    document_fixture fixture{{{"config/main", "90", 90}}};
    const auto remote = make_documents(100, 101);
    fixture.report_head(remote);
    ASSERT_EQ(fixture.requests().size(), 1U);
    fixture.deliver({"config/main", "95", 95});
    const auto base = make_documents(90, 1);
    fixture.answer(
        fixture.requests().back(),
        document_answer{documents_without_configuration(100),
                        make_configuration_delta(base.configuration, 90, remote.configuration)});
    fixture.advance_time(1ms);
    ASSERT_EQ(fixture.requests().size(), 2U);
    EXPECT_EQ(fixture.last_request(), (document_request{config_version{950}, 95}));
    EXPECT_EQ(fixture.log().count(event_id::document_delta_refused), 0U);
}

TEST(document_service, answers_waiting_peers_when_its_own_fetch_fails)
{
    document_fixture fixture{{{"config/main", "90", 90}}};
    fixture.report_head({"10.0.0.3", 7000}, make_documents(100, 101));
    const auto waiting = fixture.receive_request(make_documents(90, 15));
    for (int i = 0; i < 30; ++i) {
        fixture.advance_time(100ms);
    }
    EXPECT_EQ(waiting->correlations.size(), 1U);
}

} // namespace savorywheel::test
