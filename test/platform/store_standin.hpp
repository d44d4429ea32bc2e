#ifndef SAVORYWHEEL_TEST_PLATFORM_STORE_STANDIN_HPP
#define SAVORYWHEEL_TEST_PLATFORM_STORE_STANDIN_HPP

#include <savorywheel/encoding/json_fields.hpp>
#include <savorywheel/http/http_client.hpp>

#include <standin/platform/object_table.hpp>

#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace savorywheel::platform::test {

/** @brief Fault injected into one call. */
enum class store_fault : std::uint8_t {
    refused,     /**< 503; not executed. */
    too_many,    /**< 429; not executed. */
    unreachable, /**< Connection failed; not executed. */
    lost_answer, /**< Executed; the connection is reset before the response. */
    unreadable   /**< Executed; the response is not JSON. */
};

/**
 * @brief In-memory fake of the platform's metadata store, with its published protocol.
 *
 * Uses the in-memory store of the platform stand-in, with the complete JSON object as the value.
 */
class store_standin final : public http_client {
public:
    [[nodiscard]] outcome<http_response> send(const network_endpoint& server,
                                              const http_request& request,
                                              std::chrono::milliseconds timeout) override;

    /** @brief Injects faults into the next calls, one per call. */
    void fail_next(std::vector<store_fault> faults);

    /** @brief Discards history before a revision; watches from earlier ones fail with 410. */
    void forget_history(std::uint64_t revision);

    /** @brief Creates or replaces an object, as operators do. */
    std::uint64_t put(const std::string& kind, const std::string& name, const json& object);

    /** @return Method and target of each call received. */
    [[nodiscard]] std::vector<std::string> calls() const;

private:
    struct target {
        std::string kind;
        std::string name;
        bool status{};
        std::string query;

        [[nodiscard]] std::string key() const { return kind + '/' + name; }
        [[nodiscard]] std::string parameter(const std::string& wanted) const;
    };

    [[nodiscard]] static target parse(const std::string& text);
    [[nodiscard]] http_response answer(const http_request& request);
    [[nodiscard]] http_response read(const target& place);
    [[nodiscard]] http_response list(const target& place);
    [[nodiscard]] http_response watch(const target& place);
    [[nodiscard]] http_response create(const target& place, const json& body);
    [[nodiscard]] http_response replace(const target& place, const json& body);
    [[nodiscard]] http_response remove(const target& place);

    mutable std::mutex mutex_;
    standin::object_table table_;
    std::deque<store_fault> faults_;
    std::vector<std::string> calls_;
    std::uint64_t oldest_{};
};

} // namespace savorywheel::platform::test

#endif
