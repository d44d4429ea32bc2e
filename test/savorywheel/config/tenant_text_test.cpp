#include <savorywheel/config/mesh_spec_parser.hpp>
#include <savorywheel/config/mesh_validator.hpp>

#include <gtest/gtest.h>
#include <support/manual_clock.hpp>

#include <string>
#include <utility>
#include <vector>

namespace savorywheel::test {

namespace {

std::string text_with(std::string_view tenants)
{
    return std::string{"tenants:\n"} + std::string{tenants} + R"(failure_domains:
  - {name: east-1, region: east}
services:
  - name: bookdesk
    routes:
      - {path: /book, deadline_ms: 2000}
      - {path: /open, deadline_ms: 2000, public: true}
    versions: [{name: v1, weight: 100}]
)";
}

/** A text with its findings. */
struct read_text {
    explicit read_text(std::string_view text)
    {
        const manual_clock time;
        spec = reader.read(text, report);
        mesh_validator{reader.positions(), time.calendar_now()}.check(spec, report);
    }

    findings report;
    mesh_spec_parser reader;
    mesh_spec spec;
};

} // namespace

TEST(tenant_text, keys_are_replaced_by_their_digests_and_the_text_stays_the_same)
{
    const std::string tenants = R"(  - name: clinic # a remark
    keys: [plain-1, "quoted, 2", 'it is 3']
    rate_per_s: 2.5
    burst: 3
  - {name: bank, keys: [k4], priority: 1}
  - name: shop
    keys:
      - k5
)";
    const read_text first{text_with(tenants)};
    ASSERT_EQ(first.report.render("t"), "");
    ASSERT_EQ(first.spec.tenants.size(), 3U);
    const tenant_spec clinic{
        tenant_name{"clinic"},
        {digest_of_key("plain-1"), digest_of_key("quoted, 2"), digest_of_key("it is 3")},
        0,
        2.5,
        3.0};
    EXPECT_EQ(first.spec.tenants[0], clinic);
    EXPECT_EQ(first.spec.tenants[1].priority, 1U);
    EXPECT_FALSE(first.spec.services[0].routes[0].is_public);
    EXPECT_TRUE(first.spec.services[0].routes[1].is_public);
    auto expected = text_with(tenants);
    for (const auto& [source, key] :
         std::vector<std::pair<std::string, std::string>>{{"plain-1", "plain-1"},
                                                          {"\"quoted, 2\"", "quoted, 2"},
                                                          {"'it is 3'", "it is 3"},
                                                          {"k4", "k4"},
                                                          {"k5", "k5"}}) {
        const auto digest = '"' + to_string(digest_of_key(key)) + '"';
        expected.replace(expected.find(source), source.size(), digest);
    }
    EXPECT_EQ(first.reader.text_without_keys(), expected);
    const read_text second{first.reader.text_without_keys()};
    EXPECT_EQ(second.report.render("t"), "");
    EXPECT_EQ(second.spec, first.spec);
    EXPECT_EQ(second.reader.text_without_keys(), first.reader.text_without_keys());
}

TEST(tenant_text, faults_are_reported_with_their_position_and_without_a_key)
{
    const std::vector<std::pair<std::string, std::string>> cases{
        {"  - {name: a}\n  - {name: a}\n", "t:3:12: found tenant \"a\" twice"},
        {"  - {name: a, keys: [secret]}\n  - {name: b, keys: [x, secret]}\n",
         "t:3:25: found a key of tenant \"a\""},
        {"  - {name: a, keys: [x, \"\"]}\n", "t:2:25: found an empty key"},
        {"  - {name: a, keys: [\"secret\\n\"]}\n", "t:2:22: found a key that no request can state"},
        {"  - {name: a, keys: [\"secret\\x41\"]}\n",
         "t:2:22: found a key that cannot be replaced by its digest"},
        {"  - {name: a, keys: {secret: 1}}\n", "found a value that is not a list"},
        {"  - {name: a, keys: secret}\n", "found a value that is not a list"},
        {"  - {name: a, rate_per_s: -1}\n", "t:2:27: found -1"},
        {"  - {name: a, rate_per_s: .nan}\n", "t:2:27: found nan"},
        {"  - {name: a, rate_per_s: many}\n", "expected a number"},
        {"  - {name: a, burst: 2e9}\n", "t:2:22: found 2000000000"},
        {"  - {name: a, priority: -1}\n", "t:2:25: found no whole number"},
        {"  - {name: a, limit: 1}\n", "found unknown key \"limit\""}};
    for (const auto& [tenants, expected] : cases) {
        const auto rendered = read_text{text_with(tenants)}.report.render("t");
        EXPECT_NE(rendered.find(expected), std::string::npos) << tenants << expected << "\n"
                                                              << rendered;
        EXPECT_EQ(rendered.find("secret"), std::string::npos) << rendered;
    }
}

TEST(tenant_text, digest_texts_are_read_only_in_the_form_in_which_they_are_written)
{
    const auto digest = digest_of_key("k");
    EXPECT_EQ(parse_key_digest(to_string(digest)), digest);
    EXPECT_EQ(to_string(digest_of_key("")), "sha256:e3b0c44298fc1c149afbf4c8996fb924");
    for (const auto* text :
         {"", "sha256:", "sha256:e3b0c44298fc1c149afbf4c8996fb92",
          "sha256:e3b0c44298fc1c149afbf4c8996fb9244", "sha256:-3b0c44298fc1c149afbf4c8996fb924",
          "sha512:e3b0c44298fc1c149afbf4c8996fb924"}) {
        EXPECT_EQ(parse_key_digest(text), std::nullopt) << text;
    }
}

} // namespace savorywheel::test
