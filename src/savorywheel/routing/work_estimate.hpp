#ifndef SAVORYWHEEL_ROUTING_WORK_ESTIMATE_HPP
#define SAVORYWHEEL_ROUTING_WORK_ESTIMATE_HPP

#include <savorywheel/routing/decayed_mean.hpp>
#include <savorywheel/routing/expected_work.hpp>
#include <savorywheel/routing/work_class.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace savorywheel {

/**
 * @brief Learns the work of calls by service, route and size of the body; not thread-safe.
 *
 * A class of calls with few samples has the estimate of its route, a route with few samples that of
 * its service.
 */
class work_estimate {
public:
    /** @brief Maximum number of classes; the one that was not used for the longest time is erased.
     */
    static constexpr std::size_t max_classes = 1024;

    /**
     * @brief Records a call.
     * @param call Its class.
     * @param work Its service time, divided by the slowness of its backend server.
     */
    void record(const work_class& call, duration work);

    /** @return The expected work; a mean of zero if no call to the service is known. */
    [[nodiscard]] expected_work expected(const work_class& call) const;

    /** @return Number of classes that are kept. */
    [[nodiscard]] std::size_t classes() const noexcept { return items_.size(); }

private:
    /** Service, route and size class. */
    using key = std::tuple<std::string, std::string, std::uint8_t>;
    using key_view = std::tuple<std::string_view, std::string_view, std::uint8_t>;

    struct less {
        using is_transparent = void;

        template<typename Left, typename Right>
        bool operator()(const Left& left, const Right& right) const noexcept
        {
            return view_of(left) < view_of(right);
        }

        static key_view view_of(const key& name) noexcept
        {
            const auto& [service, route, size] = name;
            return {service, route, size};
        }

        static key_view view_of(const key_view& name) noexcept { return name; }
    };

    struct item {
        decayed_mean work;
        /** Of the logarithm of the work in nanoseconds. */
        decayed_mean magnitude;
        std::uint64_t last_record{};
    };

    void add(const key_view& name, duration work);
    [[nodiscard]] const item* find(const key_view& name) const;
    void erase_oldest();

    std::map<key, item, less> items_;
    std::uint64_t records_{};
};

} // namespace savorywheel

#endif
