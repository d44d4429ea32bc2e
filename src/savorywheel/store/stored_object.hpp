#ifndef SAVORYWHEEL_STORE_STORED_OBJECT_HPP
#define SAVORYWHEEL_STORE_STORED_OBJECT_HPP

#include <cstdint>
#include <string>

namespace savorywheel {

/** @brief Object of the platform's object API. */
struct stored_object {
    /** @brief Key, such as "commits/7". */
    std::string key;
    /** @brief Value; at most one megabyte. */
    std::string value;
    /** @brief Revision of the store at which the object was last written. */
    std::uint64_t revision{};
};

} // namespace savorywheel

#endif
