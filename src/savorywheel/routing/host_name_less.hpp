#ifndef SAVORYWHEEL_ROUTING_HOST_NAME_LESS_HPP
#define SAVORYWHEEL_ROUTING_HOST_NAME_LESS_HPP

#include <algorithm>
#include <string_view>

namespace savorywheel {

/** @brief Orders host names; the case of ASCII letters does not matter. */
struct host_name_less {
    using is_transparent = void;

    [[nodiscard]] bool operator()(std::string_view left, std::string_view right) const noexcept
    {
        return std::ranges::lexicographical_compare(left, right, {}, &host_name_less::lower,
                                                    &host_name_less::lower);
    }

private:
    [[nodiscard]] static constexpr char lower(char letter) noexcept
    {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
    }
};

} // namespace savorywheel

#endif
