#ifndef SAVORYWHEEL_APPS_CTL_APPLY_COMMAND_HPP
#define SAVORYWHEEL_APPS_CTL_APPLY_COMMAND_HPP

#include <ctl/change_options.hpp>
#include <ctl/command.hpp>

#include <string>

namespace savorywheel::ctl {

/** @brief Applies a configuration file. */
class apply_command final : public command {
public:
    void add_to(CLI::App& parent) override;
    [[nodiscard]] bool is_selected() const override;
    [[nodiscard]] exit_code run(const node_client& node) override;

private:
    CLI::App* self_{};
    std::string file_;
    change_options change_;
};

} // namespace savorywheel::ctl

#endif
