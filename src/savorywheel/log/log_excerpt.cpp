#include <savorywheel/log/log_excerpt.hpp>

#include <algorithm>

namespace savorywheel {

std::string log_excerpt(std::string_view text)
{
    std::string excerpt{text.substr(0, max_log_excerpt)};
    std::ranges::replace_if(
        excerpt, [](char c) { return c < ' ' || c > '~'; }, '?');
    return excerpt;
}

} // namespace savorywheel
