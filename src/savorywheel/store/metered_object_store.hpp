#ifndef SAVORYWHEEL_STORE_METERED_OBJECT_STORE_HPP
#define SAVORYWHEEL_STORE_METERED_OBJECT_STORE_HPP

#include <savorywheel/metrics/metric_registry.hpp>
#include <savorywheel/store/object_store.hpp>

namespace savorywheel {

/**
 * @brief Decorator that counts the calls to another object store.
 *
 * Maintains the metrics "store_reads", "store_writes", "store_watches" and "store_failures"; a
 * watch that ends without objects counts as well.
 */
class metered_object_store final : public object_store {
public:
    /**
     * @param inner Decorated store; must outlive this one.
     * @param registry Registers the counters; must outlive this store.
     */
    metered_object_store(object_store& inner, metric_registry& registry);

    [[nodiscard]] outcome<stored_object> get(std::string_view key) override;
    [[nodiscard]] outcome<std::uint64_t> create(std::string_view key,
                                                std::string_view value) override;
    [[nodiscard]] outcome<std::uint64_t> update(std::string_view key, std::string_view value,
                                                std::uint64_t expected_revision) override;
    [[nodiscard]] outcome<std::uint64_t> remove(std::string_view key,
                                                std::uint64_t expected_revision) override;
    [[nodiscard]] outcome<object_list> list(std::string_view prefix,
                                            std::string_view after) override;
    [[nodiscard]] outcome<object_list> watch(std::string_view prefix, std::uint64_t after,
                                             std::chrono::milliseconds max_wait) override;
    [[nodiscard]] outcome<object_list> watch_until_cancelled(std::string_view prefix,
                                                             std::uint64_t after,
                                                             std::chrono::milliseconds max_wait,
                                                             cancellation& cancel_signal) override;
    [[nodiscard]] outcome<object_list> read(std::string_view prefix,
                                            std::optional<std::uint64_t> after,
                                            std::chrono::milliseconds timeout) override;
    [[nodiscard]] std::optional<std::uint64_t> era() const noexcept override
    {
        return inner_.era();
    }

private:
    using counter = metric_registry::counter;

    template<typename Result>
    Result counted(counter& calls, Result result);

    object_store& inner_;
    counter& reads_;
    counter& writes_;
    counter& watches_;
    counter& checks_;
    counter& failures_;
    counter& era_;
};

} // namespace savorywheel

#endif
