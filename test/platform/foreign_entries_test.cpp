#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/membership/member_record.hpp>
#include <savorywheel/node/member_directory.hpp>

#include <gtest/gtest.h>
#include <platform/main_configuration_decoder.hpp>
#include <platform/object_api_store.hpp>
#include <platform/raw_metadata_store.hpp>
#include <platform/rollout_order_codec.hpp>
#include <rapidcheck/gtest.h>
#include <support/recording_event_log.hpp>

#include <algorithm>
#include <ostream>

namespace savorywheel::platform::test {

namespace {

using savorywheel::test::recording_event_log;

constexpr std::chrono::milliseconds no_wait{0};

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

std::string nested_objects(std::size_t levels)
{
    std::string text;
    for (std::size_t level = 0; level < levels; ++level) {
        text += R"({"a":)";
    }
    return text + '1' + std::string(levels, '}');
}

/** Spec of an entry that another writer left among valid ones. */
struct odd_spec {
    std::string title;
    std::string text;

    friend std::ostream& operator<<(std::ostream& target, const odd_spec& item)
    {
        return target << item.title;
    }
};

std::vector<odd_spec> odd_specs()
{
    return {{"nested_100000", nested(100'000)},
            {"nested_500000", nested(500'000)},
            {"nested_in_text", '"' + nested(500'000) + '"'},
            {"nested_objects", nested_objects(100'000)},
            {"number_too_large", R"({"port":1e999})"},
            {"integer_too_large", R"({"port":)" + std::string(400, '9') + '}'},
            {"infinity", R"({"port":Infinity,"slots":NaN})"},
            {"invalid_utf8", "\"\xff\xfe\""},
            {"lone_surrogate", R"("\ud800")"},
            {"control_character", "\"a\nb\""},
            {"other_type", "[[],7]"},
            {"none", "null"}};
}

class foreign_entry_test : public testing::TestWithParam<odd_spec> {
protected:
    foreign_entry_test()
    {
        fake_store_.add_spec("a", R"("first")");
        fake_store_.add_spec("odd", GetParam().text);
        fake_store_.add_spec("z", R"("last")");
    }

    static void expect_others(const outcome<object_list>& list)
    {
        ASSERT_TRUE(list) << list.reason().message;
        EXPECT_EQ(list->revision, raw_metadata_store::revision);
        const auto value_of = [&](std::string_view key) {
            const auto found = std::ranges::find(list->objects, key, &stored_object::key);
            return found == list->objects.end() ? std::string{} : found->value;
        };
        EXPECT_EQ(value_of("nodes/a"), "first");
        EXPECT_EQ(value_of("nodes/z"), "last");
    }

    raw_metadata_store fake_store_;
    recording_event_log log_;
    object_api_store subject_{fake_store_, network_endpoint{"127.0.0.1", 1}, log_};
};

} // namespace

TEST_P(foreign_entry_test, list_returns_the_other_entries)
{
    expect_others(subject_.list("nodes/", {}));
}

TEST_P(foreign_entry_test, list_continues_after_a_page_that_ends_with_the_entry)
{
    fake_store_.set_page_size(2);
    expect_others(subject_.list("nodes/", {}));
}

TEST_P(foreign_entry_test, watch_returns_the_other_entries)
{
    expect_others(subject_.watch("nodes/", 1, no_wait));
}

TEST_P(foreign_entry_test, value_is_malformed_for_every_decoder)
{
    const auto list = subject_.list("nodes/", {});
    ASSERT_TRUE(list);
    const auto odd = std::ranges::find(list->objects, "nodes/odd", &stored_object::key);
    ASSERT_NE(odd, list->objects.end());
    EXPECT_FALSE(decode_json<member_record>(odd->value));
    EXPECT_FALSE(main_configuration_decoder{}.decode(odd->value));
    EXPECT_FALSE(rollout_order_codec{}.decode(*odd));
}

INSTANTIATE_TEST_SUITE_P(object_api_store, foreign_entry_test, testing::ValuesIn(odd_specs()),
                         [](const auto& item) { return item.param.title; });

TEST(foreign_entries, event_with_another_type_of_deleted_does_not_hide_the_others)
{
    for (const auto* deleted : {"7", "null", R"("false")", "1e999", "[[]]"}) {
        raw_metadata_store fake_store;
        fake_store.set_deleted(deleted);
        fake_store.add_spec("a", R"("first")");
        recording_event_log log;
        object_api_store subject{fake_store, network_endpoint{"127.0.0.1", 1}, log};
        const auto changes = subject.watch("nodes/", 1, no_wait);
        ASSERT_TRUE(changes) << deleted;
        EXPECT_EQ(changes->objects.size(), 1U) << deleted;
    }
}

TEST(foreign_entries, list_without_progress_is_an_error)
{
    raw_metadata_store fake_store;
    fake_store.set_page_size(1);
    fake_store.add_spec("a", R"("first")");
    fake_store.add("odd", R"({"metadata":{"name":7}})");
    fake_store.add_spec("z", R"("last")");
    recording_event_log log;
    object_api_store subject{fake_store, network_endpoint{"127.0.0.1", 1}, log};
    EXPECT_EQ(subject.list("nodes/", {}).reason().code, failure_code::malformed);
}

TEST(foreign_entries, list_escapes_the_name_from_which_it_continues)
{
    raw_metadata_store fake_store;
    fake_store.set_page_size(1);
    fake_store.add("a%26b%20%C3%A9", R"({"metadata":{"name":"a&b é","revision":1},"spec":"x"})");
    fake_store.add_spec("z", R"("last")");
    recording_event_log log;
    object_api_store subject{fake_store, network_endpoint{"127.0.0.1", 1}, log};
    const auto list = subject.list("nodes/", {});
    ASSERT_TRUE(list);
    ASSERT_EQ(list->objects.size(), 2U);
    EXPECT_EQ(list->objects.back().value, "last");
}

TEST(foreign_entries, object_without_name_or_revision_is_logged_and_skipped)
{
    raw_metadata_store fake_store;
    fake_store.add_spec("a", R"("first")");
    const std::vector<std::string> objects{"7",
                                           "null",
                                           "[]",
                                           "{}",
                                           R"({"metadata":7})",
                                           R"({"metadata":{"name":"b"}})",
                                           R"({"metadata":{"name":"b","revision":1e999}})",
                                           "{\"metadata\":{\"name\":\"\xff\",\"revision\":2}}"};
    for (const auto& text : objects) {
        fake_store.add("odd", text);
    }
    recording_event_log log;
    object_api_store subject{fake_store, network_endpoint{"127.0.0.1", 1}, log};
    const auto list = subject.list("nodes/", {});
    ASSERT_TRUE(list);
    EXPECT_EQ(list->objects.size(), 1U);
    EXPECT_EQ(log.count(event_id::store_object_unreadable), objects.size());
}

RC_GTEST_PROP(foreign_entries, mutated_entry_does_not_hide_the_others, ())
{
    const std::string entry =
        R"({"metadata":{"name":"odd","revision":2,"finalizers":[]},"spec":{"peer":{"port":7001},)"
        R"("born":1.5e3,"zones":["a","b\u00e9"]},"status":null})";
    // The store writes the name, and returns a page of valid structure: brackets and quotes stay.
    std::string text = entry;
    const auto start = text.find("revision");
    const auto mutations = *rc::gen::inRange(1, 6);
    for (int i = 0; i < mutations; ++i) {
        const auto position = *rc::gen::inRange<std::size_t>(start, text.size());
        const auto replacement = *rc::gen::element<std::string>(
            "\xff", "9", "e999", "-", std::string(1, '\0'), "[[[[]]]]", "null", "\"\\ud800\"", "x");
        if (std::string_view{"[]{}\"\\,:"}.find(text[position]) == std::string_view::npos) {
            text.replace(position, 1, replacement);
        }
    }
    raw_metadata_store fake_store;
    fake_store.set_page_size(*rc::gen::inRange<std::size_t>(2, 5));
    fake_store.add_spec("a", R"("first")");
    fake_store.add_spec("b", R"("second")");
    fake_store.add("odd", text);
    fake_store.add_spec("z", R"("last")");
    recording_event_log log;
    object_api_store subject{fake_store, network_endpoint{"127.0.0.1", 1}, log};
    for (const auto& result : {subject.list("nodes/", {}), subject.watch("nodes/", 1, no_wait)}) {
        RC_ASSERT(static_cast<bool>(result));
        RC_ASSERT(result->revision == raw_metadata_store::revision);
        for (const auto* value : {"first", "second", "last"}) {
            RC_ASSERT(std::ranges::count(result->objects, value, &stored_object::value) >= 1);
        }
        for (const auto& object : result->objects) {
            static_cast<void>(decode_json<member_record>(object.value));
            static_cast<void>(main_configuration_decoder{}.decode(object.value));
            static_cast<void>(rollout_order_codec{}.decode(object));
        }
    }
}

} // namespace savorywheel::platform::test
