#include <savorywheel/core/event_quota.hpp>
#include <savorywheel/node/document_service.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <platform/main_configuration_decoder.hpp>
#include <platform/object_api_store.hpp>
#include <platform/raw_metadata_store.hpp>
#include <platform/rollout_order_codec.hpp>
#include <support/control_loop_fixture.hpp>
#include <support/recording_event_log.hpp>
#include <support/wait_until.hpp>

#include <functional>

namespace savorywheel::platform::test {

namespace {

using savorywheel::test::control_loop_fixture;
using savorywheel::test::recording_event_log;
using savorywheel::test::wait_until;

/** A node without peers. */
class no_peer_network final : public peer_network {
public:
    std::shared_ptr<frame_sink> connection_to(const network_endpoint& /*peer*/) override
    {
        return nullptr;
    }
};

std::string configuration(std::uint64_t version)
{
    return fmt::format(R"({{"version":{},"services":[{{"name":"a"}}],"virtual-hosts":[]}})",
                       version);
}

/** Documents of a node, read from a store with objects of other writers. */
class document_service_test : public testing::Test {
protected:
    /** Runs the service until it has the configuration and the condition is true. */
    void run_until(const std::function<bool()>& condition)
    {
        subject_.start();
        EXPECT_TRUE(wait_until([&] {
            fixture_.loop().run_pending();
            return subject_.documents().revision != 0 && condition();
        }));
        subject_.stop();
    }

    raw_metadata_store fake_store_;
    recording_event_log log_;
    object_api_store store_{fake_store_, network_endpoint{"127.0.0.1", 1}, log_};
    control_loop_fixture fixture_{store_};
    event_quota quota_{fixture_.loop(), 1, 1};
    no_peer_network network_;
    request_client requests_;
    main_configuration_decoder decoder_;
    rollout_order_codec orders_;
    document_service subject_{
        decoder_, orders_,
        document_service::environment{fixture_.loop(), quota_, fixture_.random(), store_, network_,
                                      requests_, log_, [] {}, [](bool /*reachable*/) {}, [] {}}};
};

} // namespace

TEST_F(document_service_test, object_under_another_name_is_not_the_configuration)
{
    fake_store_.add_spec("main", configuration(7));
    fake_store_.add_spec("main-odd", configuration(9));
    run_until([&] { return log_.count(event_id::configuration_invalid) > 0; });
    EXPECT_EQ(subject_.documents().configuration.version, config_version{7});
}

TEST_F(document_service_test, documents_hold_beside_malformed_objects)
{
    const auto nested = std::string(100'000, '[') + std::string(100'000, ']');
    fake_store_.add_spec("odd", nested);
    fake_store_.add_spec("odd-number", R"({"version":1e999})");
    fake_store_.add_spec("main", configuration(7));
    fake_store_.add_spec("lugeja",
                         R"({"service":"lugeja","target-version":"v2","duration":"14s"})");
    run_until([&] { return subject_.documents().find_order(service_name{"lugeja"}) != nullptr; });
    EXPECT_EQ(subject_.documents().configuration.version, config_version{7});
    EXPECT_GT(log_.count(event_id::configuration_invalid), 0U);
}

} // namespace savorywheel::platform::test
