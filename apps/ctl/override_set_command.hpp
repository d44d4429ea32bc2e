#ifndef SAVORYWHEEL_APPS_CTL_OVERRIDE_SET_COMMAND_HPP
#define SAVORYWHEEL_APPS_CTL_OVERRIDE_SET_COMMAND_HPP

#include <ctl/change_options.hpp>
#include <ctl/command.hpp>

#include <string>
#include <vector>

namespace savorywheel::ctl {

/** @brief Overrides the traffic shares of a service. */
class override_set_command final : public command {
public:
    void add_to(CLI::App& parent) override;
    [[nodiscard]] bool is_selected() const override;
    [[nodiscard]] exit_code run(const node_client& node) override;

private:
    CLI::App* self_{};
    std::string service_;
    std::vector<std::string> shares_;
    std::string reason_;
    change_options change_;
};

} // namespace savorywheel::ctl

#endif
