#include <savorywheel/encoding/json_depth.hpp>

#include <algorithm>

namespace savorywheel {

std::size_t json_depth(std::string_view text) noexcept
{
    std::size_t depth{};
    std::size_t max_depth{};
    bool in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (in_string) {
            i += c == '\\' ? 1 : 0;
            in_string = c != '"';
        }
        else if (c == '"') {
            in_string = true;
        }
        else if (c == '[' || c == '{') {
            max_depth = std::max(max_depth, ++depth);
        }
        else if ((c == ']' || c == '}') && depth > 0) {
            --depth;
        }
    }
    return max_depth;
}

} // namespace savorywheel
