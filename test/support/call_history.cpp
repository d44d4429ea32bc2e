#include <support/call_history.hpp>

#include <algorithm>
#include <fstream>

namespace savorywheel::test {

namespace {

std::map<std::string, int> read_executions(const std::filesystem::path& path)
{
    std::map<std::string, int> counts;
    std::ifstream file{path};
    for (std::string id; std::getline(file, id);) {
        ++counts[id];
    }
    return counts;
}

} // namespace

void call_history::add(const std::string& id, const std::string& expected,
                       const outcome<http_response>& answer)
{
    auto seen = result::unknown;
    if (answer && find_header(answer->headers, "x-savorywheel-outcome") == "not-run") {
        seen = result::not_run;
    }
    else if (answer && find_header(answer->headers, "x-savorywheel-outcome").empty()) {
        seen = answer->body == expected ? result::answered : result::wrong_answer;
    }
    const std::scoped_lock lock{mutex_};
    results_.emplace(id, seen);
}

std::vector<std::string> call_history::check(const std::filesystem::path& executions) const
{
    const auto counts = read_executions(executions);
    std::vector<std::string> findings;
    const std::scoped_lock lock{mutex_};
    for (const auto& [id, seen] : results_) {
        const auto found = counts.find(id);
        const int runs = found == counts.end() ? 0 : found->second;
        if (runs > 1) {
            findings.push_back(id + " was executed more than once");
        }
        if (seen == result::not_run && runs > 0) {
            findings.push_back(id + " was refused as not run but executed");
        }
        if (seen == result::wrong_answer) {
            findings.push_back(id + " received a response that does not belong to it");
        }
        if (seen == result::answered && runs == 0) {
            findings.push_back(id + " was answered but not executed");
        }
    }
    return findings;
}

std::size_t call_history::answered() const
{
    return count(result::answered);
}

std::size_t call_history::refused() const
{
    return count(result::not_run);
}

std::size_t call_history::unknown() const
{
    return count(result::unknown);
}

std::size_t call_history::count(result wanted) const
{
    const std::scoped_lock lock{mutex_};
    return static_cast<std::size_t>(std::ranges::count_if(
        results_, [wanted](const auto& item) { return item.second == wanted; }));
}

} // namespace savorywheel::test
