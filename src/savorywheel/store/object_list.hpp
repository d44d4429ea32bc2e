#ifndef SAVORYWHEEL_STORE_OBJECT_LIST_HPP
#define SAVORYWHEEL_STORE_OBJECT_LIST_HPP

#include <savorywheel/store/stored_object.hpp>

#include <cstdint>
#include <vector>

namespace savorywheel {

/** @brief Objects under a prefix. */
struct object_list {
    /** @brief Revision of the store that the list shows. */
    std::uint64_t revision{};
    /** @brief Objects, in the order of their keys; of their revisions when watched. */
    std::vector<stored_object> objects;
    /** @brief True if the store says that nothing follows; false if it does not say. */
    bool complete{};
};

} // namespace savorywheel

#endif
