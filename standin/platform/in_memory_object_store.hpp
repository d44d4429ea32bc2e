#ifndef SAVORYWHEEL_STANDIN_PLATFORM_IN_MEMORY_OBJECT_STORE_HPP
#define SAVORYWHEEL_STANDIN_PLATFORM_IN_MEMORY_OBJECT_STORE_HPP

#include <savorywheel/store/object_store.hpp>

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

namespace savorywheel::standin {

/** @brief Object store in memory, with the semantics of the platform's object API. */
class in_memory_object_store final : public object_store {
public:
    [[nodiscard]] outcome<stored_object> get(std::string_view key) override;
    [[nodiscard]] outcome<std::uint64_t> create(std::string_view key,
                                                std::string_view value) override;
    [[nodiscard]] outcome<std::uint64_t> update(std::string_view key, std::string_view value,
                                                std::uint64_t expected) override;
    [[nodiscard]] outcome<std::uint64_t> remove(std::string_view key,
                                                std::uint64_t expected) override;
    [[nodiscard]] outcome<object_list> list(std::string_view prefix,
                                            std::string_view after) override;
    [[nodiscard]] outcome<object_list> watch(std::string_view prefix, std::uint64_t after,
                                             std::chrono::milliseconds max_wait) override;

    /** @brief Saves a copy of all objects and the revision counter. */
    void back_up();

    /**
     * @brief Returns to the saved copy, with its revision counter, and raises the era.
     *
     * Pending watches end with not_found, as later ones from revisions above the counter do.
     */
    void restore();

    [[nodiscard]] std::optional<std::uint64_t> era() const noexcept override { return era_; }

    /** @brief Ends pending watches; later watches return immediately. */
    void stop();

private:
    [[nodiscard]] object_list objects_after(std::string_view prefix, std::uint64_t after) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, stored_object, std::less<>> objects_;
    std::uint64_t revision_{};
    std::map<std::string, stored_object, std::less<>> saved_objects_;
    std::uint64_t saved_revision_{};
    std::atomic<std::uint64_t> era_{};
    bool stopping_{};
};

} // namespace savorywheel::standin

#endif
