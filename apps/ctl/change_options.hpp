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

/** @brief Options of the commands that change something. */
class change_options {
public:
    /** @brief Chooses an operation. */
    change_options();

    /** @brief Adds the options to a command. */
    void add_to(CLI::App& command);

    /** @brief Adds the header fields to a request. */
    void add_to(http_request& request) const;

    /** @return The operation. */
    [[nodiscard]] const std::string& operation() const noexcept { return operation_; }

private:
    std::optional<std::uint64_t> base_version_;
    std::string operation_;
};

} // namespace savorywheel::ctl

#endif
