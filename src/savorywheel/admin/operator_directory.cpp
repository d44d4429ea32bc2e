#include <savorywheel/admin/operator_directory.hpp>

namespace savorywheel {

namespace {

bool equal_in_constant_time(std::string_view left, std::string_view right) noexcept
{
    unsigned difference = left.size() == right.size() ? 0U : 1U;
    for (std::size_t i = 0; i < left.size(); ++i) {
        const auto other = right.empty() ? '\0' : right[i % right.size()];
        difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(other);
    }
    return difference == 0;
}

} // namespace

std::optional<author_name> operator_directory::find(std::string_view key) const noexcept
{
    const operator_key* found = nullptr;
    for (const auto& item : keys_) {
        if (equal_in_constant_time(key, item.key)) {
            found = &item;
        }
    }
    return found == nullptr ? std::nullopt : std::optional{found->name};
}

} // namespace savorywheel
