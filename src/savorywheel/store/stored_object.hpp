#ifndef SAVORYWHEEL_STORE_STORED_OBJECT_HPP
#define SAVORYWHEEL_STORE_STORED_OBJECT_HPP

#include <cstdint>
#include <string>

namespace savorywheel {

/** @brief Object in the object store. */
struct stored_object {
    /** @brief Such as "commits/00000000000000000007". */
    std::string key;
    /** @brief At most one megabyte. */
    std::string value;
    /** @brief Store revision of the last write to the object. */
    std::uint64_t revision{};
};

} // namespace savorywheel

#endif
