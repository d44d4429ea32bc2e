#ifndef SAVORYWHEEL_STORE_OBJECT_STORE_HPP
#define SAVORYWHEEL_STORE_OBJECT_STORE_HPP

#include <savorywheel/core/outcome.hpp>
#include <savorywheel/http/cancellation.hpp>
#include <savorywheel/store/object_list.hpp>
#include <savorywheel/store/stored_object.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace savorywheel {

/**
 * @brief Versioned key-value store of the platform, with conditional updates and watches.
 *
 * Calls block until the response arrives. A write fails with unavailable if it was certainly not
 * applied, and with unknown_outcome or timeout if it may have been applied.
 */
class object_store {
public:
    object_store() = default;
    object_store(const object_store&) = delete;
    object_store& operator=(const object_store&) = delete;
    object_store(object_store&&) = delete;
    object_store& operator=(object_store&&) = delete;
    virtual ~object_store() = default;

    /** @return The object; not_found if there is none. */
    [[nodiscard]] virtual outcome<stored_object> get(std::string_view key) = 0;

    /**
     * @brief Creates an object.
     * @return The new revision; conflict if the key exists.
     */
    [[nodiscard]] virtual outcome<std::uint64_t> create(std::string_view key,
                                                        std::string_view value) = 0;

    /**
     * @brief Replaces an object.
     * @param expected_revision Revision that the object must have.
     * @return The new revision; conflict if the object has another one or does not exist.
     */
    [[nodiscard]] virtual outcome<std::uint64_t>
    update(std::string_view key, std::string_view value, std::uint64_t expected_revision) = 0;

    /**
     * @brief Removes an object.
     * @param expected_revision Revision that the object must have.
     * @return The new revision; conflict if the object has another one or does not exist.
     */
    [[nodiscard]] virtual outcome<std::uint64_t> remove(std::string_view key,
                                                        std::uint64_t expected_revision) = 0;

    /**
     * @brief Lists objects in key order; the store may return them in pages.
     * @param prefix Key prefix.
     * @param after Exclusive lower bound of the keys; empty for all.
     */
    [[nodiscard]] virtual outcome<object_list> list(std::string_view prefix,
                                                    std::string_view after) = 0;

    /**
     * @brief Waits for objects that were written after a revision.
     * @param prefix Key prefix.
     * @param after Store revision.
     * @param max_wait Maximum wait.
     * @return The written objects; none after the maximum wait; not_found if the store no longer
     * has the history after the revision, so that the objects must be listed again.
     */
    [[nodiscard]] virtual outcome<object_list> watch(std::string_view prefix, std::uint64_t after,
                                                     std::chrono::milliseconds max_wait) = 0;

    /**
     * @brief Waits as watch() does, until it is cancelled.
     *
     * The default implementation cannot be cancelled.
     * @param cancel_signal Cancelling it ends the wait, and gives up its connection.
     * @return As watch(); any failure after cancellation.
     */
    [[nodiscard]] virtual outcome<object_list>
    watch_until_cancelled(std::string_view prefix, std::uint64_t after,
                          std::chrono::milliseconds max_wait, cancellation& cancel_signal)
    {
        static_cast<void>(cancel_signal);
        return watch(prefix, after, max_wait);
    }

    /**
     * @brief Reads the newest objects without waiting for changes.
     *
     * The default implementation uses list() and watch(), with their timeouts.
     * @param prefix Key prefix.
     * @param after Store revision after which the objects were written; all objects without one.
     * @param timeout Maximum time for each response.
     * @return The objects; not_found if the store no longer has the history after the revision.
     */
    [[nodiscard]] virtual outcome<object_list> read(std::string_view prefix,
                                                    std::optional<std::uint64_t> after,
                                                    std::chrono::milliseconds timeout)
    {
        static_cast<void>(timeout);
        return after ? watch(prefix, *after, std::chrono::milliseconds::zero()) : list(prefix, {});
    }

    /**
     * @brief Number of times that the store was restored from a backup, as of its latest response.
     *
     * Thread-safe; makes no call.
     * @return Zero for a store that does not report it; none before the first response.
     */
    [[nodiscard]] virtual std::optional<std::uint64_t> era() const noexcept { return 0; }
};

} // namespace savorywheel

#endif
