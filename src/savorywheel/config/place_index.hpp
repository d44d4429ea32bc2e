#ifndef SAVORYWHEEL_CONFIG_PLACE_INDEX_HPP
#define SAVORYWHEEL_CONFIG_PLACE_INDEX_HPP

#include <savorywheel/core/text_place.hpp>

#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace savorywheel {

/** @brief Maps paths such as "services/0/name" to positions in a text. */
class place_index {
public:
    /**
     * @brief Sets the position of a part.
     * @param path Path of the part; a recorded position is replaced.
     */
    void record(std::string path, text_place place)
    {
        places_.insert_or_assign(std::move(path), place);
    }

    /** @return Position of the part; that of the whole text if none was recorded. */
    [[nodiscard]] text_place find(std::string_view path) const
    {
        const auto found = places_.find(path);
        return found == places_.end() ? text_place{} : found->second;
    }

private:
    std::map<std::string, text_place, std::less<>> places_;
};

} // namespace savorywheel

#endif
