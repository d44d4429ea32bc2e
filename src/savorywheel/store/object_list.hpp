#ifndef SAVORYWHEEL_STORE_OBJECT_LIST_HPP
#define SAVORYWHEEL_STORE_OBJECT_LIST_HPP

#include <savorywheel/store/stored_object.hpp>

#include <cstdint>
#include <vector>

namespace savorywheel {

/** @brief Result of listing or watching a key prefix. */
struct object_list {
    /** @brief Store revision that the list reflects. */
    std::uint64_t revision{};
    /** @brief Sorted by key when listed, by revision when watched. */
    std::vector<stored_object> objects;
    /** @brief True if the store reports the end of the list; false if it does not report it. */
    bool complete{};
};

} // namespace savorywheel

#endif
