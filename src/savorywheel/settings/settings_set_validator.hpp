#ifndef SAVORYWHEEL_SETTINGS_SETTINGS_SET_VALIDATOR_HPP
#define SAVORYWHEEL_SETTINGS_SETTINGS_SET_VALIDATOR_HPP

#include <savorywheel/config/mesh_spec.hpp>
#include <savorywheel/settings/settings_file.hpp>

#include <span>
#include <string>
#include <vector>

namespace savorywheel {

/** @brief Validates the settings of several nodes against each other and an operators' text. */
class settings_set_validator {
public:
    /** @param files Must outlive the validator. */
    explicit settings_set_validator(std::span<const settings_file> files) noexcept : files_{files}
    {
    }

    /** @return A message for each name or endpoint that two nodes share. */
    [[nodiscard]] std::vector<std::string> check_uniqueness() const;

    /** @return A message for each node whose failure domain and region are not in the text. */
    [[nodiscard]] std::vector<std::string> check_domains(const mesh_spec& spec) const;

private:
    std::span<const settings_file> files_;
};

} // namespace savorywheel

#endif
