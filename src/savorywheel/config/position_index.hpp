#ifndef SAVORYWHEEL_CONFIG_POSITION_INDEX_HPP
#define SAVORYWHEEL_CONFIG_POSITION_INDEX_HPP

#include <savorywheel/core/text_position.hpp>

#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace savorywheel {

/** @brief Maps paths such as "services/0/name" to positions in a text. */
class position_index {
public:
    /**
     * @brief Sets the position of a part.
     * @param path Path of the part; a recorded position is replaced.
     */
    void record(std::string path, text_position position)
    {
        positions_.insert_or_assign(std::move(path), position);
    }

    /** @return Position of the part; that of the whole text if none was recorded. */
    [[nodiscard]] text_position find(std::string_view path) const
    {
        const auto found = positions_.find(path);
        return found == positions_.end() ? text_position{} : found->second;
    }

private:
    std::map<std::string, text_position, std::less<>> positions_;
};

} // namespace savorywheel

#endif
