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

/** @brief Tails a node's log for the times at which configuration versions came into force. */
class log_follower {
public:
    /** @param log Log with timestamps in UTC; must outlive this object. */
    explicit log_follower(std::istream& log) noexcept : log_{log} {}

    /** @brief Parses the lines completed since the last call. */
    void read_new();

    /** @return Time at which this or a later version came into force; empty if none has yet. */
    [[nodiscard]] std::optional<calendar_time> in_force_at(config_version version) const;

private:
    void parse_line(std::string_view line);

    std::istream& log_;
    std::string partial_line_;
    std::map<std::uint64_t, calendar_time> versions_;
};

} // namespace savorywheel::load

#endif
