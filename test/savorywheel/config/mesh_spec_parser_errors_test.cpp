#include <savorywheel/config/mesh_spec_parser.hpp>
#include <savorywheel/config/mesh_validator.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <support/manual_clock.hpp>

#include <string>
#include <vector>

namespace savorywheel::test {

namespace {

/** Returns a valid configuration text with one line replaced. */
std::string text_with(std::string_view line, std::string_view replacement)
{
    std::string text = R"(failure_domains:
  - {name: east-1, region: east}
services:
  - name: plugboard
    depends_on: [bookdesk]
    routes:
      - {path: /check, idempotent: true, deadline_ms: 200, calls: [bookdesk]}
    versions:
      - {name: v1, weight: 100}
  - name: bookdesk
    routes:
      - {path: /book, deadline_ms: 2000}
    versions:
      - {name: v1, weight: 90}
      - {name: v2, weight: 10}
    by: 2026-01-02T00:00:00Z
)";
    if (!line.empty()) {
        text.replace(text.find(line), line.size(), replacement);
    }
    return text;
}

std::string findings_of(std::string_view text, const mesh_state* accepted = nullptr)
{
    const manual_clock time;
    findings report;
    mesh_spec_parser reader;
    const auto spec = reader.read(text, report);
    mesh_validator{reader.positions(), time.calendar_now(), accepted}.check(spec, report);
    return report.render("t");
}

struct invalid_text_case {
    std::string line;
    std::string replacement;
    std::string expected;
};

std::vector<invalid_text_case> invalid_text_cases()
{
    return {
        {"depends_on: [bookdesk]", "depends_on: [bookdesk, x]", "t:5:28: found unknown service x"},
        {"depends_on: [bookdesk]", "depends_on: [bookdesk, bookdesk]",
         "t:5:28: found dependency bookdesk twice; expected each dependency once"},
        {"depends_on: [bookdesk]", "depends_on: [bookdesk, plugboard]",
         "t:5:17: found dependency cycle plugboard -> plugboard"},
        {"name: bookdesk", "name: bookdesk\n    depends_on: [plugboard]",
         "found dependency cycle plugboard -> bookdesk -> plugboard"},
        {"- name: bookdesk", "- name: plugboard", "t:10:11: found service plugboard twice"},
        {"by: 2026-01-02", "by: 2025-12-31", "t:16:9: found a deadline in the past"},
        {"by: 2026-01-02", "by: 2026-02-30", "expected a UTC time such as"},
        {"weight: 90", "weight: 91.5", "t:14:7: found weights that add up to 101.5 %"},
        {"weight: 90", "weight: 90.05", "expected at most one decimal place"},
        {"weight: 90", "weight: -90", "found -90 under \"weight\"; expected a number from 0"},
        {"weight: 90", "weight: .nan", "expected a number from 0 to 100"},
        {"weight: 90", "weight: [90]", "t:14:28: found a list under \"weight\"; expected a number"},
        {"name: v2", "name: v1", "t:15:16: found version v1 twice"},
        {"name: v2", "name: v 2", "t:15:16: found version \"v 2\""},
        {"depends_on: [bookdesk]", "depends_on: []", "t:7:68: found a call to bookdesk"},
        {"calls: [bookdesk]", "calls: [bookdesk, bookdesk]", "found call to bookdesk twice"},
        {"deadline_ms: 200,", "deadline_ms: soon,",
         "t:7:55: found \"soon\" under \"deadline_ms\"; expected a whole number"},
        {"deadline_ms: 200,", "deadline_ms: 0,", "found deadline of 0 ms; expected 1 to 600000 ms"},
        {"deadline_ms: 200,", "deadline_ms: 99999999999999999,", "expected 1 to 600000 ms"},
        {"deadline_ms: 200, ", "", "t:7:9: found no key \"deadline_ms\""},
        {"idempotent: true", "idempotent: maybe", "expected true or false"},
        {"path: /check", "path: check", "t:7:16: found path \"check\""},
        {"path: /check", "path: '/a b'", "found path \"/a b\""},
        {"{path: /book, deadline_ms: 2000}",
         "{path: /book, deadline_ms: 2000}\n      - {path: /book, deadline_ms: 2}",
         "found route /book twice"},
        {"- name: bookdesk", "- name: ''", "found an empty text under \"name\""},
        {"- name: bookdesk", "- name:", "found nothing under \"name\"; expected a text"},
        {"- name: bookdesk", "- name: Book_Desk", "t:10:11: found service \"Book_Desk\""},
        {"name: east-1", "name: east/1", "found failure domain \"east/1\""},
        {"region: east", "region: ea st", "found region \"ea st\""},
        {"region: east}", "region: east}\n  - {name: east-1, region: west}",
         "found failure domain east-1 twice"},
        {"- name: plugboard", "- name: plugboard\n    colour: red", "found unknown key \"colour\""},
        {"- name: plugboard", "- name: plugboard\n    name: x", "found key \"name\" twice"},
        {"services:", "servces:", "found no key \"services\"; expected a list"},
        {"failure_domains:\n  - {name: east-1, region: east}\n", "",
         "found no key \"failure_domains\""},
        {"  - {name: east-1, region: east}\n", "  []\n",
         "found an empty list under \"failure_domains\""},
        {"by: 2026", "]by: 2026", "a text that is not YAML"},
        {"services:", "---\nservices:", "found a second document"}};
}

} // namespace

TEST(mesh_spec_parser_errors, valid_text_has_no_findings)
{
    EXPECT_EQ(findings_of(text_with("", "")), "");
}

TEST(mesh_spec_parser_errors, each_error_is_reported_with_position_and_expected_value)
{
    for (const auto& item : invalid_text_cases()) {
        const auto report = findings_of(text_with(item.line, item.replacement));
        EXPECT_NE(report.find(item.expected), std::string::npos)
            << item.replacement << "\nexpected: " << item.expected << "\nreport:\n"
            << report;
    }
}

TEST(mesh_spec_parser_errors, all_errors_of_a_text_are_reported_at_once)
{
    auto text = text_with("weight: 90", "weight: 80");
    text.replace(text.find("depends_on: [bookdesk]"), 22, "depends_on: [nowhere]");
    text.replace(text.find("by: 2026-01-02"), 14, "by: 2025-12-02");
    const auto report = findings_of(text);
    for (const auto* part : {"add up to 90 %", "unknown service nowhere", "deadline in the past",
                             "a call to bookdesk"}) {
        EXPECT_NE(report.find(part), std::string::npos) << part << '\n' << report;
    }
}

TEST(mesh_spec_parser_errors, text_over_the_size_limit_is_rejected)
{
    const std::string text(max_config_text_bytes + 1, '#');
    EXPECT_EQ(findings_of(text),
              "t:0:0: found a text of 1000001 bytes; expected at most 1000000 bytes\n");
}

TEST(mesh_spec_parser_errors, nested_aliases_are_rejected_before_expansion)
{
    std::string text = "a0: &a0 {x: 1}\n";
    for (int i = 1; i < 40; ++i) {
        text += fmt::format("a{0}: &a{0} [*a{1}, *a{1}, *a{1}, *a{1}, *a{1}]\n", i, i - 1);
    }
    const auto report = findings_of(text);
    EXPECT_TRUE(report.starts_with("t:2:10: found an alias; expected the value itself")) << report;
}

TEST(mesh_spec_parser_errors, deep_nesting_is_rejected)
{
    const auto report = findings_of("services: " + std::string(100'000, '['));
    EXPECT_NE(report.find("not YAML"), std::string::npos);
}

TEST(mesh_spec_parser_errors, cycle_of_5000_dependencies_is_found)
{
    constexpr int length = 5000;
    std::string text = "failure_domains: [{name: e, region: e}]\nservices:\n";
    for (int i = 0; i < length; ++i) {
        text +=
            fmt::format("- {{name: s{}, depends_on: [s{}], routes: [{{path: /, deadline_ms: 1}}], "
                        "versions: [{{name: v, weight: 100}}]}}\n",
                        i, (i + 1) % length);
    }
    EXPECT_NE(findings_of(text).find("dependency cycle s0 -> s1 -> "), std::string::npos);
}

TEST(mesh_spec_parser_errors, already_accepted_deadline_may_lie_in_the_past)
{
    findings report;
    mesh_spec_parser reader;
    const auto text = text_with("by: 2026-01-02", "by: 2025-12-31");
    const auto spec = reader.read(text, report);
    std::vector<service_state> services(2);
    services[0].spec = spec.services[0];
    services[1].spec = spec.services[1];
    const mesh_state accepted{config_version{1}, spec.domains, services};
    EXPECT_EQ(findings_of(text, &accepted), "");
    EXPECT_NE(findings_of(text), "");
}

} // namespace savorywheel::test
