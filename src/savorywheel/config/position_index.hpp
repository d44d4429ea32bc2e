#ifndef SAVORYWHEEL_CONFIG_POSITION_INDEX_HPP
#define SAVORYWHEEL_CONFIG_POSITION_INDEX_HPP

#include <savorywheel/core/text_position.hpp>

#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace savorywheel {

/** @brief Remembers where each part of a text stands, by a path such as "services/0/name". */
class position_index {
public:
    /**
     * @brief Records a part.
     * @param path Path of the part.
     * @param position Where it stands.
     */
    void record(std::string path, text_position position)
    {
        positions_.insert_or_assign(std::move(path), position);
    }

    /** @return Where the part stands; the whole text if it was not recorded. */
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
