#ifndef SAVORYWHEEL_SETTINGS_OPERATOR_KEY_HPP
#define SAVORYWHEEL_SETTINGS_OPERATOR_KEY_HPP

#include <savorywheel/core/names.hpp>

#include <string>

namespace savorywheel {

/** @brief Secret that authorizes one operator to change the configuration. */
struct operator_key {
    author_name name;
    /** @brief At least min_operator_key_bytes long. */
    std::string key;
};

} // namespace savorywheel

#endif
