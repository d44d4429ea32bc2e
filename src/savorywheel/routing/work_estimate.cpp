#include <savorywheel/routing/work_estimate.hpp>

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>

namespace savorywheel {

namespace {

/** Bounds the effect of a single long call to a few percent; a change of the work of a route is
 * learned within as many calls. */
constexpr std::uint32_t window = 64;
/** A mean of fewer calls is less certain than that of the route or service. */
constexpr std::uint32_t min_samples = 8;
/** Ratio of the standard deviation to the mean absolute deviation of a normal distribution. */
constexpr double standard_deviation = 1.25;
/** Size class of the estimates of a route and of a service, over all sizes. */
constexpr std::uint8_t any_size = 255;
constexpr std::uint8_t max_size_class = 5;

/** Size classes: up to 1 KiB, 4 KiB, 16 KiB, 64 KiB, 256 KiB, larger. */
std::uint8_t size_class_of(std::size_t bytes)
{
    constexpr std::size_t smallest = 1024;
    const auto doublings = std::bit_width((std::max<std::size_t>(bytes, 1) - 1) / smallest);
    return static_cast<std::uint8_t>(
        std::min<std::size_t>((static_cast<std::size_t>(doublings) + 1) / 2, max_size_class));
}

} // namespace

void work_estimate::record(const work_class& call, duration work)
{
    if (work <= duration::zero()) {
        return;
    }
    ++records_;
    add({call.service, call.route, size_class_of(call.body_bytes)}, work);
    add({call.service, call.route, any_size}, work);
    add({call.service, {}, any_size}, work);
    while (items_.size() > max_classes) {
        erase_oldest();
    }
}

expected_work work_estimate::expected(const work_class& call) const
{
    const std::array known{find({call.service, call.route, size_class_of(call.body_bytes)}),
                           find({call.service, call.route, any_size}),
                           find({call.service, {}, any_size})};
    const auto has_samples = [](std::uint32_t count) {
        return [count](const item* found) {
            return found != nullptr && found->work.samples() >= count;
        };
    };
    auto chosen = std::ranges::find_if(known, has_samples(min_samples));
    if (chosen == known.end()) {
        chosen = std::ranges::find_if(known, has_samples(1));
    }
    if (chosen == known.end()) {
        return {};
    }
    const auto& [work, magnitude, last_record] = **chosen;
    expected_work result;
    result.mean = duration{static_cast<duration::rep>(work.mean())};
    result.typical = duration{static_cast<duration::rep>(std::exp(magnitude.mean()))};
    if (work.samples() >= min_samples) {
        result.spread = magnitude.deviation() * standard_deviation;
    }
    return result;
}

void work_estimate::add(const key_view& name, duration work)
{
    auto found = items_.find(name);
    if (found == items_.end()) {
        const auto& [service, route, size] = name;
        found = items_
                    .emplace(key{service, route, size},
                             item{decayed_mean{window}, decayed_mean{window}})
                    .first;
    }
    const auto sample = static_cast<double>(work.count());
    found->second.work.record(sample);
    found->second.magnitude.record(std::log(sample));
    found->second.last_record = records_;
}

const work_estimate::item* work_estimate::find(const key_view& name) const
{
    const auto found = items_.find(name);
    return found == items_.end() ? nullptr : &found->second;
}

void work_estimate::erase_oldest()
{
    items_.erase(std::ranges::min_element(
        items_, {}, [](const auto& known) { return known.second.last_record; }));
}

} // namespace savorywheel
