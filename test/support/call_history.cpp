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
                       const outcome<http_response>& response)
{
    auto caller_result = result::unknown;
    if (response && find_header(response->headers, "x-savorywheel-outcome") == "not-run") {
        caller_result = result::not_run;
    }
    else if (response && find_header(response->headers, "x-savorywheel-outcome").empty()) {
        caller_result = response->body == expected ? result::answered : result::wrong_response;
    }
    const std::scoped_lock lock{mutex_};
    results_.emplace(id, caller_result);
}

std::vector<std::string> call_history::check(const std::filesystem::path& executions) const
{
    const auto counts = read_executions(executions);
    std::vector<std::string> findings;
    const std::scoped_lock lock{mutex_};
    for (const auto& [id, caller_result] : results_) {
        const auto found = counts.find(id);
        const int execution_count = found == counts.end() ? 0 : found->second;
        if (execution_count > 1) {
            findings.push_back(id + " was executed more than once");
        }
        if (caller_result == result::not_run && execution_count > 0) {
            findings.push_back(id + " was refused as not run but executed");
        }
        if (caller_result == result::wrong_response) {
            findings.push_back(id + " received a response that does not belong to it");
        }
        if (caller_result == result::answered && execution_count == 0) {
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

std::size_t call_history::count(result expected) const
{
    const std::scoped_lock lock{mutex_};
    return static_cast<std::size_t>(std::ranges::count_if(
        results_, [expected](const auto& item) { return item.second == expected; }));
}

} // namespace savorywheel::test
