#ifndef SAVORYWHEEL_TEST_PLATFORM_FAKE_METADATA_STORE_HPP
#define SAVORYWHEEL_TEST_PLATFORM_FAKE_METADATA_STORE_HPP

#include <savorywheel/encoding/json_fields.hpp>
#include <savorywheel/http/http_client.hpp>

#include <standin/platform/in_memory_object_store.hpp>

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace savorywheel::platform::test {

/** @brief Fault injected into one call. */
enum class store_fault : std::uint8_t {
    refused,           /**< 503; not executed. */
    too_many_requests, /**< 429; not executed. */
    unreachable,       /**< Connection failed; not executed. */
    lost_answer,       /**< Executed; the connection is reset before the response. */
    invalid_json       /**< Executed; the response is not JSON. */
};

/**
 * @brief In-memory fake of the platform's metadata store, with its published protocol.
 *
 * Uses the in-memory store of the platform stand-in, with the complete JSON object as the value.
 */
class fake_metadata_store final : public http_client {
public:
    [[nodiscard]] outcome<http_response> send(const network_endpoint& server,
                                              const http_request& request,
                                              std::chrono::milliseconds timeout) override;

    /** @brief Injects faults into the next calls, one per call. */
    void fail_next(std::vector<store_fault> faults);

    /** @brief Runs an action before a later call; 1 is the next one. */
    void before_call(std::size_t number, std::function<void()> action);

    /** @brief Discards history before a revision; watches from earlier ones fail with 410. */
    void truncate_history(std::uint64_t revision);

    /** @brief Saves a copy of all objects and the revision counter. */
    void back_up();

    /**
     * @brief Returns to the saved copy and raises the era, which all responses state from then on.
     */
    void restore();

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
        [[nodiscard]] std::string parameter(const std::string& parameter_name) const;
    };

    [[nodiscard]] static target parse(const std::string& text);
    [[nodiscard]] http_response handle(const http_request& request);
    [[nodiscard]] http_response read(const target& parsed_target);
    [[nodiscard]] http_response list(const target& parsed_target);
    [[nodiscard]] http_response watch(const target& parsed_target);
    [[nodiscard]] http_response create(const target& parsed_target, const json& body);
    [[nodiscard]] http_response replace(const target& parsed_target, const json& body);
    [[nodiscard]] http_response remove(const target& parsed_target);

    mutable std::mutex mutex_;
    standin::in_memory_object_store store_;
    std::deque<store_fault> faults_;
    std::vector<std::string> calls_;
    std::map<std::size_t, std::function<void()>> actions_;
    std::uint64_t oldest_revision_{};
};

} // namespace savorywheel::platform::test

#endif
