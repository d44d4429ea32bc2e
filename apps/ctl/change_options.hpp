#ifndef SAVORYWHEEL_APPS_CTL_CHANGE_OPTIONS_HPP
#define SAVORYWHEEL_APPS_CTL_CHANGE_OPTIONS_HPP

#include <savorywheel/http/http_request.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace CLI { // NOLINT(readability-identifier-naming): the library's name.
class App;
}

namespace savorywheel::ctl {

/** @brief Options shared by the commands that change the configuration. */
class change_options {
public:
    /** @brief Generates a random operation id. */
    change_options();

    /** @brief Registers the options with a command. */
    void add_to(CLI::App& command);

    /** @brief Adds the operation id and the base version as header fields. */
    void add_to(http_request& request) const;

    /** @return Operation id. */
    [[nodiscard]] const std::string& operation() const noexcept { return operation_; }

private:
    std::optional<std::uint64_t> base_version_;
    std::string operation_;
};

} // namespace savorywheel::ctl

#endif
