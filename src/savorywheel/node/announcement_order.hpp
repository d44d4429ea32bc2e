#ifndef SAVORYWHEEL_NODE_ANNOUNCEMENT_ORDER_HPP
#define SAVORYWHEEL_NODE_ANNOUNCEMENT_ORDER_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/traffic/backend_announcement.hpp>
#include <savorywheel/traffic/backend_departure.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywheel {

/**
 * @brief Decides which announcement of a VM's backend servers is the newest.
 *
 * A start of a backend server is known by its identity and start time. The latest start is current.
 * As start times come from clocks that may step, and announcements from other writers, an earlier
 * start replaces a current one that is silent, once it has announced itself repeatedly. A start
 * that has left is never current again.
 * @warning Not thread-safe.
 */
class announcement_order {
public:
    /** @param silence Time without an announcement after which a current start may be replaced. */
    explicit announcement_order(duration silence) noexcept : silence_{silence} {}

    /**
     * @brief Records an announcement.
     * @param announcement The announcement.
     * @param now Time of its arrival.
     * @return True if it is the newest and takes effect.
     */
    [[nodiscard]] bool record(const backend_announcement& announcement, monotonic_time now);

    /** @return True if an announcement belongs to a start that has not left and is not current. */
    [[nodiscard]] bool is_displaced(const backend_announcement& announcement) const;

    /**
     * @brief Records that a backend server has left.
     * @param identity Its identity.
     * @param now Unix milliseconds, the upper bound of its start time if that is unknown.
     * @return True if its start is current.
     */
    bool leave(std::string_view identity, std::uint64_t now);

    /**
     * @brief Adds departures from before the start of this process.
     * @return True if the current start is one of them.
     */
    bool add_departures(std::span<const backend_departure> departures);

    /**
     * @brief Requires that the first start announces itself repeatedly before it is current.
     *
     * For a node that does not know which backend servers left before its own start.
     */
    void require_confirmation() noexcept { needs_confirmation_ = true; }

    /** @brief Ends require_confirmation(), as the departures before this start are known. */
    void confirm() noexcept { needs_confirmation_ = false; }

    /** @return The latest departures, oldest first. */
    [[nodiscard]] std::span<const backend_departure> departures() const noexcept
    {
        return departures_;
    }

private:
    struct start {
        std::string identity;
        std::uint64_t started_at{};
        std::uint64_t sequence{};
        monotonic_time heard_at;
        bool is_gone{};

        [[nodiscard]] bool is_same(const backend_announcement& announcement) const noexcept;
    };

    [[nodiscard]] static start make_start(const backend_announcement& announcement,
                                          monotonic_time now);
    [[nodiscard]] bool has_left(std::string_view identity, std::uint64_t started_at) const;
    [[nodiscard]] bool has_left(const backend_announcement& announcement) const;
    [[nodiscard]] bool continues_to_drain(const backend_announcement& announcement) const;
    [[nodiscard]] bool is_newer(const backend_announcement& announcement) const;
    /** Returns true once a start that is not the newest may replace the current one. */
    [[nodiscard]] bool replaces_silent(const backend_announcement& announcement,
                                       monotonic_time now);
    void add_departure(backend_departure departure);

    duration silence_;
    std::optional<start> current_;
    /** Start that an earlier one has replaced after its silence. */
    std::optional<start> superseded_;
    /** Start that announces itself though it is not the newest; heard_at is its first arrival. */
    std::optional<start> candidate_;
    std::vector<backend_departure> departures_;
    bool needs_confirmation_{};
};

} // namespace savorywheel

#endif
