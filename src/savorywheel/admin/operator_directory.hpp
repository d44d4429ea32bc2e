#ifndef SAVORYWHEEL_ADMIN_OPERATOR_DIRECTORY_HPP
#define SAVORYWHEEL_ADMIN_OPERATOR_DIRECTORY_HPP

#include <savorywheel/settings/operator_key.hpp>

#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace savorywheel {

/** @brief Finds the operator to whom a key belongs. */
class operator_directory {
public:
    /** @param keys Keys of all operators. */
    explicit operator_directory(std::vector<operator_key> keys) noexcept : keys_{std::move(keys)} {}

    /**
     * @brief Looks a key up, in a time that does not depend on where it differs.
     * @param key The key of a request.
     * @return The operator; nothing if no operator has the key.
     */
    [[nodiscard]] std::optional<author_name> find(std::string_view key) const noexcept;

private:
    std::vector<operator_key> keys_;
};

} // namespace savorywheel

#endif
