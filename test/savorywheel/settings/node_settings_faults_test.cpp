#include <savorywheel/settings/node_settings_reader.hpp>
#include <savorywheel/settings/settings_set_validator.hpp>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace savorywheel::test {

namespace {

std::string settings_with(std::string_view line, std::string_view replacement)
{
    std::string text = R"(name: plug-1
failure_domain: east-1
region: east
address: 127.0.0.1
ports: {traffic: 7000, admin: 7001, peer: 7002}
store: 127.0.0.9:9000
log_level: warning
operators:
  - {name: ann, key: 0123456789abcdef}
  - {name: bob, key: fedcba9876543210}
seeds: [127.0.0.1:7002]
)";
    if (!line.empty()) {
        text.replace(text.find(line), line.size(), replacement);
    }
    return text;
}

std::string faults_of(std::string_view text)
{
    findings report;
    static_cast<void>(read_node_settings(text, report));
    return report.render("s");
}

struct fault_case {
    std::string line;
    std::string replacement;
    std::string expected;
};

} // namespace

TEST(node_settings_faults, valid_settings_have_no_faults)
{
    findings report;
    const auto settings = read_node_settings(settings_with("", ""), report);
    EXPECT_EQ(report.render("s"), "");
    EXPECT_EQ(settings.log_level, event_severity::warning);
    EXPECT_EQ(settings.operators.size(), 2U);
}

// The platform's template gives the limit as a text with its unit.
TEST(node_settings_faults, key_confirmation_limit_is_a_number_or_a_duration)
{
    findings report;
    EXPECT_EQ(read_node_settings(settings_with("", ""), report).key_confirmation_limit,
              std::nullopt);
    for (const auto* text : {"5000", "\"5000ms\"", "5s"}) {
        const auto line = std::string{"region: east\nkey_confirmation_limit_ms: "} + text;
        EXPECT_EQ(
            read_node_settings(settings_with("region: east", line), report).key_confirmation_limit,
            std::chrono::milliseconds{5000})
            << text;
    }
    EXPECT_EQ(report.render("s"), "");
    for (const auto* text : {"-1", "100", "5 minutes", "nan", "601s"}) {
        const auto line = std::string{"region: east\nkey_confirmation_limit_ms: "} + text;
        EXPECT_NE(faults_of(settings_with("region: east", line)), "") << text;
    }
}

// Guards against limits on callers that are ignored, or that let a body exceed a frame between
// nodes.
TEST(node_settings_faults, limits_on_callers_are_read_and_checked)
{
    constexpr std::size_t kib = 1024;
    const auto with_callers = [](const std::string& callers) {
        return settings_with("log_level: warning", "callers: " + callers);
    };
    findings report;
    const auto settings = read_node_settings(
        with_callers("{connections: 40, memory_kib: 4096, body_kib: 256}"), report);
    EXPECT_EQ(report.render("s"), "");
    EXPECT_EQ(settings.callers.connections, 40U);
    EXPECT_EQ(settings.callers.memory_bytes, 4096 * kib);
    EXPECT_EQ(settings.callers.body_bytes, 256 * kib);
    EXPECT_NE(faults_of(with_callers("{connections: 0}")).find("from 1 to"), std::string::npos);
    EXPECT_NE(faults_of(with_callers("{body_kib: 8193}")).find("from 1 to 8192"),
              std::string::npos);
    EXPECT_NE(faults_of(with_callers("{memory: 1}")).find("unknown key"), std::string::npos);
}

TEST(node_settings_faults, each_fault_is_reported_with_its_position)
{
    const std::vector<fault_case> cases{
        {"region: east", "regin: east", "s:3:1: found unknown key \"regin\"; expected one of:"},
        {"region: east\n", "", "found no key \"region\""},
        {"name: plug-1", "name: plug 1", "s:1:7: found \"plug 1\" under \"name\""},
        {"address: 127.0.0.1", "address: localhost", "expected an IP number such as 10.0.0.1"},
        {"traffic: 7000", "traffic: 70000", "s:5:18: found 70000 under \"traffic\""},
        {"admin: 7001", "admin: 7000", "found the port of traffic under \"admin\""},
        {"peer: 7002}", "peer: 7001}", "found the port of traffic or admin under \"peer\""},
        {"store: 127.0.0.9:9000", "store: platform:9000", "s:6:8: found \"platform:9000\""},
        {"log_level: warning", "log_level: loud", "expected info, warning or error"},
        {"key: 0123456789abcdef", "key: short", "found a key of 5 bytes under \"key\""},
        {"name: bob", "name: ann", "found operator ann twice"},
        {"key: fedcba9876543210", "key: 0123456789abcdef", "found the key of ann under \"key\""},
        {"seeds: [127.0.0.1:7002]", "seeds: [here]", "found \"here\" under \"seeds\""},
        {"log_level: warning", "quota: {shards: 0}", "expected a number from 1 to 1024"},
        {"log_level: warning", "quota: {window: 2}", "expected a time of at least 1000 ms"},
        {"log_level: warning", "quota: {over: -0.1}", "expected a number from 0 to 1e9"},
        {"log_level: warning", "quota: {slack: .nan}", "expected a number from 0 to 1e9"},
        {"ports: {", "ports: [", "not YAML"}};
    for (const auto& item : cases) {
        const auto report = faults_of(settings_with(item.line, item.replacement));
        EXPECT_NE(report.find(item.expected), std::string::npos)
            << item.replacement << "\nexpected: " << item.expected << "\nreport:\n"
            << report;
    }
}

TEST(node_settings_faults, oversized_settings_are_rejected)
{
    const auto report = faults_of(std::string(max_settings_bytes + 1, '#'));
    EXPECT_EQ(report, "s:0:0: found settings of 100001 bytes; expected at most 100000 bytes\n");
}

TEST(node_settings_faults, shared_names_and_endpoints_are_reported)
{
    findings report;
    const auto settings = read_node_settings(settings_with("", ""), report);
    const std::vector<settings_file> files{{"a", settings}, {"b", settings}};
    const settings_set_validator validator{files};
    EXPECT_EQ(validator.check_uniqueness().size(), 4U);
    mesh_spec text;
    EXPECT_EQ(validator.check_domains(text).size(), 2U);
    text.domains.push_back({settings.domain, settings.region});
    EXPECT_TRUE(validator.check_domains(text).empty());
}

TEST(node_settings_faults, grace_time_of_a_stop_is_read_and_checked)
{
    findings report;
    const auto base = settings_with("", "");
    EXPECT_FALSE(read_node_settings(base, report).stop_grace);
    const auto settings = read_node_settings(base + "stop_grace_ms: 6000\n", report);
    EXPECT_EQ(report.render("s"), "");
    EXPECT_EQ(settings.stop_grace, std::chrono::milliseconds{6000});
    EXPECT_NE(faults_of(base + "stop_grace_ms: -1\n"), "");
}

} // namespace savorywheel::test
