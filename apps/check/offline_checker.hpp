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

/** @brief Validates configuration and settings files without a running node. */
class offline_checker {
public:
    /**
     * @param time Clock against which rollout deadlines are checked; must outlive this object.
     * @param output Stream for the findings; must outlive this object.
     */
    offline_checker(const clock& time, std::ostream& output) noexcept : time_{time}, output_{output}
    {
    }

    /** @brief Validates a configuration file. */
    void check_text(const std::string& path);

    /** @brief Validates the settings file of a node. */
    void check_settings(const std::string& path);

    /** @brief Checks the settings files against each other and against the configuration. */
    void check_consistency();

    /** @return True if no check has reported a finding. */
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
