#ifndef SAVORYWHEEL_STANDIN_NODE_ADDRESS_REGION_HPP
#define SAVORYWHEEL_STANDIN_NODE_ADDRESS_REGION_HPP

#include <string_view>

namespace savorywheel::standin {

/** @return The third octet of an IPv4 address, which identifies the region on a test bench. */
[[nodiscard]] constexpr std::string_view address_region(std::string_view address) noexcept
{
    const auto last = address.rfind('.');
    if (last == std::string_view::npos || last == 0) {
        return {};
    }
    const auto before = address.rfind('.', last - 1);
    return before == std::string_view::npos ? std::string_view{}
                                            : address.substr(before + 1, last - before - 1);
}

} // namespace savorywheel::standin

#endif
