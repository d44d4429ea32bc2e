#include <savorywheel/config/mesh_spec_parser.hpp>
#include <savorywheel/config/mesh_validator.hpp>
#include <savorywheel/settings/node_settings_reader.hpp>
#include <savorywheel/settings/settings_set_validator.hpp>

#include <check/offline_checker.hpp>
#include <common/read_file.hpp>

#include <ostream>

namespace savorywheel::check {

void offline_checker::check_text(const std::string& path)
{
    const auto content = read(path);
    if (!content) {
        return;
    }
    findings report;
    mesh_spec_parser reader;
    text_ = reader.read(*content, report);
    mesh_validator{reader.positions(), time_.calendar_now()}.check(*text_, report);
    print(report.render(path));
}

void offline_checker::check_settings(const std::string& path)
{
    const auto content = read(path);
    if (!content) {
        return;
    }
    findings report;
    files_.push_back({path, read_node_settings(*content, report)});
    print(report.render(path));
}

void offline_checker::check_consistency()
{
    const settings_set_validator validator{files_};
    for (const auto& line : validator.check_uniqueness()) {
        print(line + '\n');
    }
    if (!text_) {
        return;
    }
    for (const auto& line : validator.check_domains(*text_)) {
        print(line + '\n');
    }
}

std::optional<std::string> offline_checker::read(const std::string& path)
{
    auto content = read_file(path);
    if (!content) {
        print(path + ": cannot be read\n");
    }
    return content;
}

void offline_checker::print(const std::string& lines)
{
    clean_ = clean_ && lines.empty();
    output_ << lines;
}

} // namespace savorywheel::check
