#include <savorywheel/admin/history_report.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <gtest/gtest.h>
#include <support/local_mesh.hpp>
#include <support/wait_until.hpp>

#include <fstream>
#include <sstream>

namespace savorywheel::test {

namespace {

constexpr const char* config_text = R"(failure_domains:
  - {name: east-1, region: east}
services:
  - name: plugboard
    routes: [{path: /check, idempotent: true, deadline_ms: 2000}]
    versions: [{name: v1, weight: 100}]
)";

struct run_result {
    int code{};
    std::string output;
};

/** Runs savorywheelctl against a mesh of one node. */
class command_line_test : public ::testing::Test {
protected:
    void SetUp() override { ASSERT_TRUE(mesh_.wait_for_members()); }

    run_result run(std::vector<std::string> arguments, const std::string& key = test_operator_key)
    {
        const auto log = (mesh_.folder() / "ctl.out").string();
        std::ofstream{log, std::ios::trunc}.close();
        arguments.insert(arguments.end(),
                         {"--node", to_string(mesh_.admin_endpoint(0)), "--key", key});
        child_process process{"savorywheelctl", arguments, log};
        const auto code = process.wait();
        std::ostringstream content;
        content << std::ifstream{log}.rdbuf();
        return {code, std::move(content).str()};
    }

    std::string write_config(const std::string& content)
    {
        auto path = (mesh_.folder() / "mesh.yaml").string();
        std::ofstream{path, std::ios::trunc} << content;
        return path;
    }

    local_mesh mesh_{140, {{"plug-1", "east-1", "east", "plugboard"}}};
};

} // namespace

TEST_F(command_line_test, apply_override_status_and_history_commands_succeed)
{
    const auto file = write_config(config_text);
    EXPECT_EQ(run({"check", file}).code, 0);
    EXPECT_EQ(run({"diff", file}).code, 0);
    EXPECT_EQ(run({"apply", file}, "a-wrong-operator-key").code, 5);
    const auto applied = run({"apply", file, "--operation", "first"});
    EXPECT_EQ(applied.code, 0) << applied.output;
    EXPECT_TRUE(applied.output.starts_with("accepted version 1 operation first"));
    ASSERT_TRUE(mesh_.wait_for_version(config_version{1}));
    EXPECT_EQ(run({"text"}).output, config_text);
    EXPECT_EQ(run({"override", "set", "plugboard", "v1=100", "--reason", "quiet"}).code, 0);
    ASSERT_TRUE(mesh_.wait_for_version(config_version{2}));
    const auto status = run({"status"});
    EXPECT_EQ(status.code, 0);
    EXPECT_NE(status.output.find("override v1 100 % by tester"), std::string::npos)
        << status.output;
    EXPECT_NE(status.output.find("version 2 (1 of 1 nodes heard)"), std::string::npos)
        << status.output;
    EXPECT_EQ(run({"override", "release", "plugboard", "--reason", "unseen"}).code, 3);
    EXPECT_EQ(run({"override", "release", "plugboard", "--reason", "done", "--seen", "2"}).code, 0);
    ASSERT_TRUE(mesh_.wait_for_version(config_version{3}));
    EXPECT_EQ(run({"override", "list"}).output, "no override in force\n");
    const auto history = run({"history", "--output", "json"});
    const auto report = decode_json<history_report>(history.output);
    ASSERT_TRUE(report) << history.output;
    EXPECT_EQ(report->entries.size(), 3U);
    EXPECT_EQ(run({"state"}).code, 0);
}

TEST_F(command_line_test, findings_rejections_and_errors_set_the_exit_code)
{
    const auto faulty = write_config("services: 1\n");
    EXPECT_EQ(run({"check", faulty}).code, 3);
    const auto refused = run({"apply", faulty});
    EXPECT_EQ(refused.code, 3);
    EXPECT_NE(refused.output.find("mesh.yaml:1:11: found \"1\" under \"services\""),
              std::string::npos)
        << refused.output;
    EXPECT_EQ(run({"apply", "/nonexistent"}).code, 2);
    EXPECT_EQ(run({"aply"}).code, 2);
    EXPECT_EQ(run({"--help"}).code, 0);
    EXPECT_EQ(run({"override", "set", "plugboard", "v1", "--reason", "x"}).code, 2);
    EXPECT_EQ(run({"settle", "never-sent"}).code, 3);
}

TEST_F(command_line_test, settle_reports_the_outcome_of_an_operation)
{
    const auto file = write_config(config_text);
    mesh_.set_platform_fault("down=1");
    EXPECT_NE(run({"apply", file, "--operation", "one"}).code, 0);
    mesh_.set_platform_fault("down=0");
    const auto settled = run({"settle", "one"});
    EXPECT_EQ(settled.code, 3) << settled.output;
    EXPECT_EQ(run({"apply", file, "--operation", "two"}).code, 0);
    EXPECT_EQ(run({"settle", "two"}).output, "accepted version 1 operation two\n");
}

} // namespace savorywheel::test
