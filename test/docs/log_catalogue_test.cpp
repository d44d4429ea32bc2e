#include <savorywheel/log/event_catalogue.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>
#include <string>

namespace savorywheel::test {

namespace {

std::set<std::string> read_documented_rows()
{
    std::ifstream page{std::string{SAVORYWHEEL_SOURCE_FOLDER} + "/docs/LOGS.md"};
    std::set<std::string> rows;
    for (std::string line; std::getline(page, line);) {
        if (line.starts_with("| SW")) {
            rows.insert(line.substr(0, line.rfind(" | ", line.size() - 3)));
        }
    }
    return rows;
}

std::set<std::string> make_catalogue_rows()
{
    std::set<std::string> rows;
    for (const auto& entry : event_catalogue()) {
        rows.insert(fmt::format("| SW{} | {} | {}", static_cast<int>(entry.id),
                                to_string(entry.severity), entry.meaning));
    }
    return rows;
}

} // namespace

TEST(log_catalogue, code_and_page_list_the_same_events)
{
    EXPECT_EQ(read_documented_rows(), make_catalogue_rows());
}

} // namespace savorywheel::test
