#include <savorywheel/store/store_era.hpp>
#include <savorywheel/store/store_revision.hpp>

#include <charconv>
#include <system_error>

namespace savorywheel {

namespace {

/** Bits of an era in a composed revision, less 8 for sums of the revisions of many objects. */
constexpr std::uint64_t max_era = (std::uint64_t{1} << (56U - store_revision::raw_bits)) - 1;

std::uint64_t parse_era(std::string_view text) noexcept
{
    std::uint64_t era{};
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, era);
    return parsed.ec == std::errc{} && parsed.ptr == end && era <= max_era ? era : 0;
}

} // namespace

std::uint64_t store_era::observe(std::string_view text) noexcept
{
    const auto era = parse_era(text);
    auto known = observed_.load();
    while (known < era + 1 && !observed_.compare_exchange_weak(known, era + 1)) {
    }
    return era;
}

std::optional<std::uint64_t> store_era::latest() const noexcept
{
    const auto observed = observed_.load();
    return observed == 0 ? std::nullopt : std::optional{observed - 1};
}

bool store_era::has_ended(std::uint64_t composed_revision) const noexcept
{
    return store_revision::of(composed_revision).era < latest().value_or(0);
}

} // namespace savorywheel
