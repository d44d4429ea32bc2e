#ifndef SAVORYWHEEL_TEST_SUPPORT_PAGING_STORE_HPP
#define SAVORYWHEEL_TEST_SUPPORT_PAGING_STORE_HPP

#include <savorywheel/store/object_store.hpp>

#include <standin/platform/object_table.hpp>

namespace savorywheel::test {

/** @brief In-memory store with small list pages that rejects values above 1 MB. */
class paging_store final : public object_store {
public:
    /** @param page Maximum number of objects that one call of list() returns. */
    explicit paging_store(std::size_t page) noexcept : page_{page} {}

    /** @brief Rejects all create() calls after the given number of them. */
    void allow_writes(std::size_t count) noexcept { writes_left_ = count; }

    /** @return Number of list() calls. */
    [[nodiscard]] std::size_t lists() const noexcept { return lists_; }

    outcome<stored_object> get(std::string_view key) override { return table_.get(key); }

    outcome<std::uint64_t> create(std::string_view key, std::string_view value) override
    {
        constexpr std::size_t max_value_bytes = 1'000'000;
        if (writes_left_ == 0 || value.size() > max_value_bytes) {
            return failure{failure_code::unavailable, "refused"};
        }
        --writes_left_;
        return table_.create(key, value);
    }

    outcome<std::uint64_t> update(std::string_view key, std::string_view value,
                                  std::uint64_t expected) override
    {
        return table_.update(key, value, expected);
    }

    outcome<std::uint64_t> remove(std::string_view key, std::uint64_t expected) override
    {
        return table_.remove(key, expected);
    }

    outcome<object_list> list(std::string_view prefix, std::string_view after) override
    {
        ++lists_;
        auto objects = table_.list(prefix, after);
        if (objects && objects->objects.size() > page_) {
            objects->objects.resize(page_);
        }
        return objects;
    }

    outcome<object_list> watch(std::string_view prefix, std::uint64_t after,
                               std::chrono::milliseconds patience) override
    {
        return table_.watch(prefix, after, patience);
    }

private:
    std::size_t page_;
    std::size_t writes_left_{~std::size_t{}};
    std::size_t lists_{};
    standin::object_table table_;
};

} // namespace savorywheel::test

#endif
