#ifndef SAVORYWHEEL_TEST_SUPPORT_CALL_HISTORY_HPP
#define SAVORYWHEEL_TEST_SUPPORT_CALL_HISTORY_HPP

#include <savorywheel/core/outcome.hpp>
#include <savorywheel/http/http_response.hpp>

#include <filesystem>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace savorywheel::test {

/** @brief Results of requests at callers, to compare with the executions at backend servers. */
class call_history {
public:
    /**
     * @brief Records the result of a request; thread-safe.
     * @param id Id of the request, unique in the history.
     * @param expected Body of the correct response.
     * @param response Response that the caller received, or the failure.
     */
    void add(const std::string& id, const std::string& expected,
             const outcome<http_response>& response);

    /**
     * @brief Compares the results with the executions.
     * @param executions File to which the backend servers append the ids of executed requests.
     * @return Findings: requests that were executed twice, executed although refused as not run,
     * given the response of another request, or answered without an execution.
     */
    [[nodiscard]] std::vector<std::string> check(const std::filesystem::path& executions) const;

    /** @return Number of requests with the correct response. */
    [[nodiscard]] std::size_t answered() const;

    /** @return Number of requests refused as not run. */
    [[nodiscard]] std::size_t refused() const;

    /** @return Number of requests with an unknown outcome. */
    [[nodiscard]] std::size_t unknown() const;

private:
    enum class result { answered, wrong_response, not_run, unknown };

    [[nodiscard]] std::size_t count(result expected) const;

    mutable std::mutex mutex_;
    std::map<std::string, result> results_;
};

} // namespace savorywheel::test

#endif
