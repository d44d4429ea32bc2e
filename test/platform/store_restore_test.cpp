#include <savorywheel/core/event_quota.hpp>
#include <savorywheel/distribution/store_check.hpp>
#include <savorywheel/node/document_service.hpp>
#include <savorywheel/node/order_appender.hpp>
#include <savorywheel/rollout/mesh_state_builder.hpp>
#include <savorywheel/store/store_revision.hpp>

#include <gtest/gtest.h>
#include <platform/fake_metadata_store.hpp>
#include <platform/main_configuration_decoder.hpp>
#include <platform/object_api_store.hpp>
#include <platform/rollout_order_codec.hpp>
#include <support/control_loop_fixture.hpp>
#include <support/recording_event_log.hpp>
#include <support/wait_until.hpp>

#include <functional>
#include <mutex>

namespace savorywheel::platform::test {

namespace {

using savorywheel::test::control_loop_fixture;
using savorywheel::test::recording_event_log;
using savorywheel::test::wait_until;

/** A node without peers. */
class unconnected_network final : public peer_network {
public:
    std::shared_ptr<frame_sink> connection_to(const network_endpoint& /*peer*/) override
    {
        return nullptr;
    }
};

json configuration(std::uint64_t version)
{
    return {{"spec",
             {{"version", version},
              {"services", json::array({{{"name", "plugboard"}}})},
              {"virtual-hosts", json::array()}}}};
}

json order(const std::string& target)
{
    return {{"spec", {{"service", "plugboard"}, {"target-version", target}, {"duration", "14s"}}}};
}

/** Documents of a node whose store is restored from a backup. */
class store_restore_test : public testing::Test {
protected:
    bool run_until(const std::function<bool()>& condition)
    {
        return wait_until([&] {
            fixture_.loop().run_pending();
            return condition();
        });
    }

    [[nodiscard]] const operator_documents& documents() const { return subject_.documents(); }

    [[nodiscard]] bool has_version(std::uint64_t version) const
    {
        return documents().configuration.version == config_version{version};
    }

    recording_event_log log_;
    fake_metadata_store fake_store_;
    object_api_store store_{fake_store_, network_endpoint{"127.0.0.1", 1}, log_};
    control_loop_fixture fixture_{store_};
    event_quota quota_{fixture_.loop(), 1, 1};
    unconnected_network network_;
    request_client requests_;
    main_configuration_decoder decoder_;
    rollout_order_codec orders_;
    document_service subject_{
        decoder_, orders_,
        document_service::environment{fixture_.loop(), quota_, fixture_.random(), store_, network_,
                                      requests_, log_, [] {}, [](bool /*reachable*/) {}, [] {}}};
};

} // namespace

/** Guards against an older version from the backup, and changes under revisions used again. */
TEST_F(store_restore_test, watches_list_again_and_changes_written_again_are_in_force)
{
    fake_store_.put("config", "main", configuration(1));
    fake_store_.back_up();
    fake_store_.put("config", "main", configuration(2));
    fake_store_.put("rollouts", "plugboard", order("v2"));
    subject_.set_choice({watch_role::everyone, 0});
    subject_.start();
    ASSERT_TRUE(run_until([&] { return has_version(2) && !documents().orders.empty(); }));
    fake_store_.restore();
    ASSERT_TRUE(run_until([&] { return documents().unwritten_configuration; }));
    EXPECT_TRUE(has_version(2));
    fake_store_.put("rollouts", "plugboard", order("v3"));
    fake_store_.put("config", "main", configuration(2));
    fake_store_.put("config", "main", configuration(3));
    EXPECT_TRUE(run_until([&] {
        return has_version(3) &&
               documents().find_order(service_name{"plugboard"})->target == version_name{"v3"};
    }));
    EXPECT_FALSE(documents().unwritten_configuration);
    EXPECT_EQ(store_revision::of(documents().revision).era, 1U);
    subject_.stop();
}

/** Guards against checks that confirm documents which the restored store has changed. */
TEST_F(store_restore_test, check_from_a_revision_of_an_ended_era_reads_all_objects)
{
    fake_store_.put("config", "main", configuration(1));
    fake_store_.back_up();
    const auto lost = fake_store_.put("config", "main", configuration(2));
    fake_store_.restore();
    std::mutex mutex;
    std::vector<stored_object> objects;
    std::optional<outcome<store_check_result>> checked;
    store_check subject{
        {"config/main"},
        store_check::environment{store_, fixture_.loop().time(), log_,
                                 [&](std::string_view, std::vector<stored_object> read) {
                                     const std::scoped_lock lock{mutex};
                                     objects = std::move(read);
                                 },
                                 [&](const outcome<store_check_result>& result) {
                                     const std::scoped_lock lock{mutex};
                                     checked = result;
                                 }}};
    subject.start(lost);
    ASSERT_TRUE(wait_until([&] {
        const std::scoped_lock lock{mutex};
        return checked.has_value();
    }));
    ASSERT_TRUE(*checked);
    EXPECT_EQ(store_revision::of((*checked)->revision).era, 1U);
    ASSERT_EQ(objects.size(), 1U);
    EXPECT_EQ(store_revision::of(objects.front().revision), (store_revision{1, 1}));
}

/** Guards against a step that was decided before the restore and overwrites another order. */
TEST_F(store_restore_test, step_of_an_ended_era_is_refused_until_the_order_is_read_again)
{
    fake_store_.back_up();
    fake_store_.put("rollouts", "plugboard", order("v2"));
    operator_documents known;
    const auto read_order = [&] {
        known.merge(orders_.decode(*store_.get("rollouts/plugboard"))->order);
    };
    read_order();
    order_appender subject{{fixture_.worker(), fixture_.loop(), orders_,
                            [&]() -> const operator_documents& { return known; }}};
    service_state service;
    service.spec.name = service_name{"plugboard"};
    service.move.emplace();
    service.move->to = {{version_name{"v3"}, weight_sum_permille}};
    service.weights = service.move->to;
    commit step;
    step.upserts.push_back(service);
    std::optional<outcome<bool>> written;
    const auto append = [&] {
        subject.append(step, [&](const outcome<bool>& result) { written = result; });
        fixture_.finish_store_calls();
        fixture_.loop().run_pending();
    };
    fake_store_.restore();
    fake_store_.put("rollouts", "plugboard", order("v3"));
    static_cast<void>(store_.get("config/main"));
    append();
    ASSERT_TRUE(written);
    ASSERT_FALSE(*written);
    EXPECT_EQ(written->reason().code, failure_code::conflict);
    EXPECT_FALSE(orders_.decode(*store_.get("rollouts/plugboard"))->order.record);
    read_order();
    append();
    EXPECT_TRUE(*written);
    EXPECT_TRUE(orders_.decode(*store_.get("rollouts/plugboard"))->order.record);
}

/** Guards against routing tables that are refused since the sum of revisions went back. */
TEST_F(store_restore_test, version_of_the_state_never_goes_back)
{
    operator_documents known;
    mesh_state_builder builder;
    const member_table members;
    config_version last;
    const auto read_all = [&] {
        known.merge(*decoder_.decode(store_.get("config/main")->value),
                    store_.get("config/main")->revision);
        if (const auto object = store_.get("rollouts/plugboard")) {
            known.merge(orders_.decode(*object)->order);
        }
        const auto sum = known.revision_sum();
        EXPECT_GE(sum, last);
        last = sum;
        EXPECT_EQ(builder.build(known, members, {}).version(), sum);
    };
    fake_store_.put("config", "main", configuration(1));
    fake_store_.back_up();
    read_all();
    for (std::uint64_t version = 2; version < 5; ++version) {
        fake_store_.put("rollouts", "plugboard", order("v" + std::to_string(version)));
        fake_store_.put("config", "main", configuration(version));
        read_all();
        fake_store_.restore();
        read_all();
    }
    EXPECT_EQ(known.configuration.version, config_version{4});
}

} // namespace savorywheel::platform::test
