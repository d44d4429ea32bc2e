#ifndef SAVORYWHEEL_DISTRIBUTION_STORE_CHECK_HPP
#define SAVORYWHEEL_DISTRIBUTION_STORE_CHECK_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/outcome.hpp>
#include <savorywheel/distribution/store_check_result.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/store/object_store.hpp>
#include <savorywheel/store/store_worker.hpp>

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywheel {

/**
 * @brief Reads what was written to the store since a revision, without waiting for changes.
 *
 * A request without a response in a short time is repeated, as its connection may have gone silent;
 * the repetition uses another connection.
 */
class store_check {
public:
    /** @brief Receives the objects that a check has read; called on the thread of the check. */
    using objects_callback =
        std::function<void(std::string_view prefix, std::vector<stored_object> objects)>;

    /** @brief Called once for each check, on its thread. */
    using done_callback = std::function<void(const outcome<store_check_result>& result)>;

    /** @brief Dependencies; all must outlive the check. */
    struct environment {
        object_store& store;
        const clock& time;
        event_log& log;
        objects_callback objects;
        done_callback done;
    };

    /** @param prefixes Key prefixes of the objects to read, in this order. */
    store_check(std::vector<std::string> prefixes, environment env);

    /**
     * @brief Starts a check; does not block.
     * @param after Revision after which objects are read; all objects without one.
     */
    void start(std::optional<std::uint64_t> after);

    /** @brief Starts a check of the objects with the first prefix only. */
    void start_first(std::optional<std::uint64_t> after);

private:
    struct reading {
        monotonic_time sent;
        duration sent_since_boot{};
        object_list listed;
    };

    [[nodiscard]] outcome<store_check_result> run(std::span<const std::string> prefixes,
                                                  std::optional<std::uint64_t> after);
    [[nodiscard]] outcome<reading> read(const std::string& prefix,
                                        std::optional<std::uint64_t> after);

    std::vector<std::string> prefixes_;
    environment environment_;
    store_worker worker_;
};

} // namespace savorywheel

#endif
