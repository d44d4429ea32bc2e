#ifndef SAVORYWHEEL_APPS_LOAD_LOG_FOLLOWER_HPP
#define SAVORYWHEEL_APPS_LOAD_LOG_FOLLOWER_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/config_version.hpp>

#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace savorywheel::load {

/** @brief Reads from a node's growing log when each configuration version came in force. */
class log_follower {
public:
    /** @param log The log, with times in UTC; must outlive the follower. */
    explicit log_follower(std::istream& log) noexcept : log_{log} {}

    /** @brief Reads the lines that were written since the last call. */
    void read_new();

    /** @return When a version, or a later one, came in force; nothing if it is not yet. */
    [[nodiscard]] std::optional<calendar_time> in_force_at(config_version version) const;

private:
    void parse_line(std::string_view line);

    std::istream& log_;
    std::string partial_line_;
    std::map<std::uint64_t, calendar_time> versions_;
};

} // namespace savorywheel::load

#endif
