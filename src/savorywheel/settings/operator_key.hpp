#ifndef SAVORYWHEEL_SETTINGS_OPERATOR_KEY_HPP
#define SAVORYWHEEL_SETTINGS_OPERATOR_KEY_HPP

#include <savorywheel/core/names.hpp>

#include <string>

namespace savorywheel {

/** @brief Key with which one operator may change the configuration. */
struct operator_key {
    /** @brief The operator. */
    author_name name;
    /** @brief The key; at least min_operator_key_bytes long. */
    std::string key;
};

} // namespace savorywheel

#endif
