#ifndef SAVORYWHEEL_TEST_SUPPORT_FIXED_OBJECT_STORE_HPP
#define SAVORYWHEEL_TEST_SUPPORT_FIXED_OBJECT_STORE_HPP

#include <savorywheel/store/object_store.hpp>

#include <algorithm>
#include <thread>
#include <utility>

namespace savorywheel::test {

/** @brief Read-only store whose objects have the revisions that a test gives them. */
class fixed_object_store final : public object_store {
public:
    /** @param objects All objects. */
    explicit fixed_object_store(std::vector<stored_object> objects) : objects_{std::move(objects)}
    {
    }

    outcome<stored_object> get(std::string_view key) override
    {
        const auto found = std::ranges::find(objects_, key, &stored_object::key);
        return found == objects_.end()
                   ? outcome<stored_object>{failure{failure_code::not_found, "no such object"}}
                   : outcome<stored_object>{*found};
    }

    outcome<std::uint64_t> create(std::string_view /*key*/, std::string_view /*value*/) override
    {
        return read_only();
    }

    outcome<std::uint64_t> update(std::string_view /*key*/, std::string_view /*value*/,
                                  std::uint64_t /*expected*/) override
    {
        return read_only();
    }

    outcome<std::uint64_t> remove(std::string_view /*key*/, std::uint64_t /*expected*/) override
    {
        return read_only();
    }

    outcome<object_list> list(std::string_view prefix, std::string_view /*after*/) override
    {
        object_list result{1, {}, true};
        std::ranges::copy_if(objects_, std::back_inserter(result.objects), [&](const auto& item) {
            return std::string_view{item.key}.starts_with(prefix);
        });
        return result;
    }

    /** @return No objects, after a short wait. */
    outcome<object_list> watch(std::string_view /*prefix*/, std::uint64_t after,
                               std::chrono::milliseconds max_wait) override
    {
        constexpr std::chrono::milliseconds longest_wait{20};
        std::this_thread::sleep_for(std::min(max_wait, longest_wait));
        return object_list{after, {}, false};
    }

private:
    static failure read_only() { return {failure_code::unavailable, "read-only"}; }

    std::vector<stored_object> objects_;
};

} // namespace savorywheel::test

#endif
