#ifndef SAVORYWHEEL_STANDIN_NODE_DELAYED_OBJECT_STORE_HPP
#define SAVORYWHEEL_STANDIN_NODE_DELAYED_OBJECT_STORE_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/store/object_store.hpp>

namespace savorywheel::standin {

/** @brief Simulates network latency by a delay before and after each call to another store. */
class delayed_object_store final : public object_store {
public:
    /**
     * @param inner The wrapped store; must outlive this one.
     * @param delay One-way delay.
     */
    delayed_object_store(object_store& inner, duration delay) noexcept
        : inner_{inner}, delay_{delay}
    {
    }

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
    [[nodiscard]] std::optional<std::uint64_t> era() const noexcept override
    {
        return inner_.era();
    }

private:
    object_store& inner_;
    duration delay_;
};

} // namespace savorywheel::standin

#endif
