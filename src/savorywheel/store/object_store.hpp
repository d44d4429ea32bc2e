#ifndef SAVORYWHEEL_STORE_OBJECT_STORE_HPP
#define SAVORYWHEEL_STORE_OBJECT_STORE_HPP

#include <savorywheel/core/outcome.hpp>
#include <savorywheel/store/object_list.hpp>
#include <savorywheel/store/stored_object.hpp>

#include <chrono>
#include <cstdint>
#include <string_view>

namespace savorywheel {

/**
 * @brief The platform's object API: versions, conditional updates and watches.
 *
 * Calls wait for the answer. A write fails with unavailable if it was certainly not done, and with
 * unknown_outcome or timeout if it may have been.
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
     * @param key Key.
     * @param value Value.
     * @return The new revision; conflict if the key exists.
     */
    [[nodiscard]] virtual outcome<std::uint64_t> create(std::string_view key,
                                                        std::string_view value) = 0;

    /**
     * @brief Replaces an object.
     * @param key Key.
     * @param value New value.
     * @param expected Revision that the object must have.
     * @return The new revision; conflict if the object has another one or does not exist.
     */
    [[nodiscard]] virtual outcome<std::uint64_t>
    update(std::string_view key, std::string_view value, std::uint64_t expected) = 0;

    /**
     * @brief Removes an object.
     * @param key Key.
     * @param expected Revision that the object must have.
     * @return The new revision; conflict if the object has another one or does not exist.
     */
    [[nodiscard]] virtual outcome<std::uint64_t> remove(std::string_view key,
                                                        std::uint64_t expected) = 0;

    /**
     * @brief Lists objects.
     * @param prefix Start of the keys.
     * @param after Only keys greater than this one; empty for all.
     */
    [[nodiscard]] virtual outcome<object_list> list(std::string_view prefix,
                                                    std::string_view after) = 0;

    /**
     * @brief Waits for objects that were written after a revision.
     * @param prefix Start of the keys.
     * @param after Revision.
     * @param max_wait Longest wait.
     * @return The objects, none if the wait ended; not_found if the store no longer knows what
     * came after the revision, so that the objects must be listed.
     */
    [[nodiscard]] virtual outcome<object_list> watch(std::string_view prefix, std::uint64_t after,
                                                     std::chrono::milliseconds max_wait) = 0;
};

} // namespace savorywheel

#endif
