#ifndef SAVORYWHEEL_STORE_STORE_ERA_HPP
#define SAVORYWHEEL_STORE_STORE_ERA_HPP

#include <atomic>
#include <cstdint>
#include <optional>
#include <string_view>

namespace savorywheel {

/** @brief Latest era that a store has reported; thread-safe. */
class store_era {
public:
    /**
     * @brief Reads the era that a response states.
     *
     * A response that was delayed may state an earlier era, which does not lower the latest one.
     * @param text Decimal number; anything else is era 0.
     * @return Era of this response.
     */
    std::uint64_t observe(std::string_view text) noexcept;

    /** @return The latest era; none before the first response. */
    [[nodiscard]] std::optional<std::uint64_t> latest() const noexcept;

    /** @return True if the store has certainly lost what was written at this composed revision. */
    [[nodiscard]] bool has_ended(std::uint64_t composed_revision) const noexcept;

private:
    /** The latest era plus one; zero before the first response. */
    std::atomic<std::uint64_t> observed_{};
};

} // namespace savorywheel

#endif
