#include <savorywheel/log/event_id.hpp>

#include <fmt/format.h>
#include <load/log_follower.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace savorywheel::load {

namespace {

constexpr std::size_t read_bytes = 65536;
constexpr std::string_view version_mark = "version ";

unsigned number_at(std::string_view text, std::size_t position, std::size_t length)
{
    unsigned value{};
    const auto part = text.substr(position, length);
    std::from_chars(part.data(), part.data() + part.size(), value);
    return value;
}

/** Parses the first timestamp of a line, such as "2026-12-04 11:22:33,456". */
calendar_time time_of(std::string_view line)
{
    using namespace std::chrono;
    line.remove_prefix(std::min(line.find_first_of("0123456789"), line.size()));
    const year_month_day date{year{static_cast<int>(number_at(line, 0, 4))},
                              month{number_at(line, 5, 2)}, day{number_at(line, 8, 2)}};
    return sys_days{date} + hours{number_at(line, 11, 2)} + minutes{number_at(line, 14, 2)} +
           seconds{number_at(line, 17, 2)} + milliseconds{number_at(line, 20, 3)};
}

} // namespace

void log_follower::read_new()
{
    std::array<char, read_bytes> buffer{};
    log_.clear();
    while (log_.read(buffer.data(), buffer.size()), log_.gcount() > 0) {
        partial_line_.append(buffer.data(), static_cast<std::size_t>(log_.gcount()));
    }
    std::size_t start{};
    for (auto end = partial_line_.find('\n'); end != std::string::npos;
         end = partial_line_.find('\n', start)) {
        parse_line(std::string_view{partial_line_}.substr(start, end - start));
        start = end + 1;
    }
    partial_line_.erase(0, start);
}

std::optional<calendar_time> log_follower::in_force_at(config_version version) const
{
    const auto found = versions_.lower_bound(version.number);
    return found == versions_.end() ? std::nullopt : std::optional{found->second};
}

void log_follower::parse_line(std::string_view line)
{
    static const auto mark =
        fmt::format("SW{} ", static_cast<int>(event_id::configuration_in_force));
    const auto at = line.rfind(version_mark);
    if (line.find(mark) == std::string_view::npos || at == std::string_view::npos) {
        return;
    }
    std::uint64_t version{};
    const auto digits = line.substr(at + version_mark.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), version);
    versions_.emplace(version, time_of(line));
}

} // namespace savorywheel::load
