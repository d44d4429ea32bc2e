#ifndef SAVORYWHEEL_ADMIN_OPERATOR_DIRECTORY_HPP
#define SAVORYWHEEL_ADMIN_OPERATOR_DIRECTORY_HPP

#include <savorywheel/settings/operator_key.hpp>

#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace savorywheel {

/** @brief Authenticates operators by their keys. */
class operator_directory {
public:
    /** @param keys Keys of all operators. */
    explicit operator_directory(std::vector<operator_key> keys) noexcept : keys_{std::move(keys)} {}

    /**
     * @brief Finds the operator of a key, in a time that does not reveal where keys differ.
     * @return Name of the operator; std::nullopt if no operator has the key.
     */
    [[nodiscard]] std::optional<author_name> find(std::string_view key) const noexcept;

private:
    std::vector<operator_key> keys_;
};

} // namespace savorywheel

#endif
