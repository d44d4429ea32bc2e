#include <savorywheel/routing/host_name.hpp>

namespace savorywheel {

std::string_view host_name_of(std::string_view authority) noexcept
{
    if (authority.starts_with('[')) {
        const auto end = authority.find(']');
        return end == std::string_view::npos ? std::string_view{} : authority.substr(1, end - 1);
    }
    auto name = authority.substr(0, authority.find(':'));
    if (name.ends_with('.')) {
        name.remove_suffix(1);
    }
    return name;
}

} // namespace savorywheel
