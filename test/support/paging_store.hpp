#ifndef SAVORYWHEEL_TEST_SUPPORT_PAGING_STORE_HPP
#define SAVORYWHEEL_TEST_SUPPORT_PAGING_STORE_HPP

#include <savorywheel/store/object_store.hpp>

#include <standin/platform/in_memory_object_store.hpp>

namespace savorywheel::test {

/** @brief In-memory store with small list pages that rejects values above 1 MB. */
class paging_store final : public object_store {
public:
    /** @param page_size Maximum number of objects that one call of list() returns. */
    explicit paging_store(std::size_t page_size) noexcept : page_size_{page_size} {}

    /** @brief Rejects all create() calls after the given number of them. */
    void allow_writes(std::size_t count) noexcept { remaining_writes_ = count; }

    /** @return Number of list() calls. */
    [[nodiscard]] std::size_t list_calls() const noexcept { return list_calls_; }

    outcome<stored_object> get(std::string_view key) override { return store_.get(key); }

    outcome<std::uint64_t> create(std::string_view key, std::string_view value) override
    {
        constexpr std::size_t max_value_bytes = 1'000'000;
        if (remaining_writes_ == 0 || value.size() > max_value_bytes) {
            return failure{failure_code::unavailable, "refused"};
        }
        --remaining_writes_;
        return store_.create(key, value);
    }

    outcome<std::uint64_t> update(std::string_view key, std::string_view value,
                                  std::uint64_t expected) override
    {
        return store_.update(key, value, expected);
    }

    outcome<std::uint64_t> remove(std::string_view key, std::uint64_t expected) override
    {
        return store_.remove(key, expected);
    }

    outcome<object_list> list(std::string_view prefix, std::string_view after) override
    {
        ++list_calls_;
        auto objects = store_.list(prefix, after);
        if (objects && objects->objects.size() > page_size_) {
            objects->objects.resize(page_size_);
        }
        return objects;
    }

    outcome<object_list> watch(std::string_view prefix, std::uint64_t after,
                               std::chrono::milliseconds max_wait) override
    {
        return store_.watch(prefix, after, max_wait);
    }

private:
    std::size_t page_size_;
    std::size_t remaining_writes_{~std::size_t{}};
    std::size_t list_calls_{};
    standin::in_memory_object_store store_;
};

} // namespace savorywheel::test

#endif
