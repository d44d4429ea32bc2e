#ifndef SAVORYWHEEL_APPS_COMMON_READ_FILE_HPP
#define SAVORYWHEEL_APPS_COMMON_READ_FILE_HPP

#include <fstream>
#include <optional>
#include <sstream>
#include <string>

namespace savorywheel {

/** @return Content of the file; empty optional if it cannot be opened. */
[[nodiscard]] inline std::optional<std::string> read_file(const std::string& path)
{
    const std::ifstream file{path, std::ios::binary};
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream content;
    content << file.rdbuf();
    return std::move(content).str();
}

} // namespace savorywheel

#endif
