#ifndef SAVORYWHEEL_TEST_PLATFORM_FAKE_METADATA_STORE_HPP
#define SAVORYWHEEL_TEST_PLATFORM_FAKE_METADATA_STORE_HPP

#include <savorywheel/encoding/json_fields.hpp>
#include <savorywheel/http/http_client.hpp>

#include <standin/platform/in_memory_object_store.hpp>

#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace savorywheel::platform::test {

/** @brief How the stand-in treats one call. */
enum class store_fault : std::uint8_t {
    refused,           /**< 503, not carried out. */
    too_many_requests, /**< 429, not carried out. */
    unreachable,       /**< No connection. */
    lost_answer,       /**< Carried out; the connection breaks before the answer. */
    invalid_json       /**< Carried out; the answer is no JSON. */
};

/**
 * @brief The metadata store of the platform in memory, by its published protocol.
 *
 * It shares the table of the product's own stand-in, with the whole object as the value.
 */
class fake_metadata_store final : public http_client {
public:
    [[nodiscard]] outcome<http_response> send(const network_endpoint& server,
                                              const http_request& request,
                                              std::chrono::milliseconds timeout) override;

    /** @brief Treats the next calls with faults, one call each. */
    void fail_next(std::vector<store_fault> faults);

    /** @brief Forgets the history up to a revision, so that older watches end with 410. */
    void truncate_history(std::uint64_t revision);

    /** @brief Writes an object as an operator does. */
    std::uint64_t put(const std::string& kind, const std::string& name, const json& object);

    /** @return Calls that arrived. */
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
    std::uint64_t oldest_revision_{};
};

} // namespace savorywheel::platform::test

#endif
