#ifndef SAVORYWHEEL_STORE_STORE_REVISION_HPP
#define SAVORYWHEEL_STORE_STORE_REVISION_HPP

#include <cstdint>

namespace savorywheel {

/**
 * @brief Revision of a store that may be restored from a backup.
 *
 * A restored store reuses the revisions that it lost. Composed with the era, which rises with each
 * restore, revisions only grow. In era 0 a composed revision equals the store's own.
 */
struct store_revision {
    /** @brief Bits of the store's own revision: 1,000 writes per second for 34 years. */
    static constexpr unsigned raw_bits = 40;

    /** @brief Number of restores before the revision was assigned. */
    std::uint64_t era{};
    /** @brief Revision that the store assigned. */
    std::uint64_t raw{};

    /** @return The parts of a composed revision. */
    [[nodiscard]] static constexpr store_revision of(std::uint64_t composed) noexcept
    {
        return {composed >> raw_bits, composed & ((std::uint64_t{1} << raw_bits) - 1)};
    }

    /** @return The composed revision. */
    [[nodiscard]] constexpr std::uint64_t composed() const noexcept
    {
        return era << raw_bits | raw;
    }

    [[nodiscard]] friend bool operator==(const store_revision&, const store_revision&) = default;
};

} // namespace savorywheel

#endif
