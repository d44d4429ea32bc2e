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

/** @brief What callers saw of their requests, for a check against what backend servers ran. */
class call_history {
public:
    /**
     * @brief Adds what a caller saw; any thread may call this.
     * @param id Id of the request, unique in the history.
     * @param expected Body of the whole answer.
     * @param response What came.
     */
    void add(const std::string& id, const std::string& expected,
             const outcome<http_response>& response);

    /**
     * @brief Checks the history.
     * @param executions File to which the backend servers appended the ids that they ran.
     * @return Findings: a request that ran twice, a refusal that was not true, an answer that is
     * not the request's own, or an answer to a request that did not run.
     */
    [[nodiscard]] std::vector<std::string> check(const std::filesystem::path& executions) const;

    /** @return Requests with a whole answer. */
    [[nodiscard]] std::size_t answered() const;

    /** @return Requests that were refused as not run. */
    [[nodiscard]] std::size_t refused() const;

    /** @return Requests whose outcome their callers do not know. */
    [[nodiscard]] std::size_t unknown() const;

private:
    enum class result { answered, wrong_response, not_run, unknown };

    [[nodiscard]] std::size_t count(result expected) const;

    mutable std::mutex mutex_;
    std::map<std::string, result> results_;
};

} // namespace savorywheel::test

#endif
