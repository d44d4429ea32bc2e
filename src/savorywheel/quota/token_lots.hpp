#ifndef SAVORYWHEEL_QUOTA_TOKEN_LOTS_HPP
#define SAVORYWHEEL_QUOTA_TOKEN_LOTS_HPP

#include <savorywheel/core/clock.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace savorywheel {

/** @brief Tokens of a tenant with their times of expiry; allocates nothing. */
class token_lots {
public:
    /** @brief Adds tokens; if there are many lots, some tokens expire earlier. */
    void add(std::uint32_t tokens, duration expires) noexcept;

    /** @brief Takes the token that expires first. */
    [[nodiscard]] std::optional<duration> take(duration now) noexcept;

    /** @return Valid tokens. */
    [[nodiscard]] std::uint32_t count(duration now) noexcept;

private:
    /** A node requests tokens every 200 ms, and half of them are used by the next request. */
    static constexpr std::size_t max_lots = 6;

    struct lot {
        duration expires{};
        std::uint32_t tokens{};
    };

    void expire(duration now) noexcept;
    void erase(std::size_t number) noexcept;

    /** In ascending order of expiry; the first size_ are used. */
    std::array<lot, max_lots> lots_{};
    std::size_t size_{};
};

} // namespace savorywheel

#endif
