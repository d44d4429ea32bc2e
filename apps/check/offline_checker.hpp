#ifndef SAVORYWHEEL_APPS_CHECK_OFFLINE_CHECKER_HPP
#define SAVORYWHEEL_APPS_CHECK_OFFLINE_CHECKER_HPP

#include <savorywheel/config/mesh_spec.hpp>
#include <savorywheel/core/clock.hpp>
#include <savorywheel/settings/settings_file.hpp>

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace savorywheel::check {

/** @brief Checks texts and settings without a node, and prints the findings. */
class offline_checker {
public:
    /**
     * @param time Clock for deadlines; must outlive the checker.
     * @param output Receives the findings; must outlive the checker.
     */
    offline_checker(const clock& time, std::ostream& output) noexcept : time_{time}, output_{output}
    {
    }

    /** @brief Checks the operators' text in a file. */
    void check_text(const std::string& path);

    /** @brief Checks a node's settings in a file. */
    void check_settings(const std::string& path);

    /** @brief Checks the settings against each other and against the text. */
    void check_consistency();

    /** @return True if nothing was found. */
    [[nodiscard]] bool clean() const noexcept { return clean_; }

private:
    [[nodiscard]] std::optional<std::string> read(const std::string& path);
    void print(const std::string& lines);

    const clock& time_;
    std::ostream& output_;
    std::optional<mesh_spec> text_;
    std::vector<settings_file> files_;
    bool clean_{true};
};

} // namespace savorywheel::check

#endif
