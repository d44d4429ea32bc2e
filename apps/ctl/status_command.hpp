#ifndef SAVORYWHEEL_APPS_CTL_STATUS_COMMAND_HPP
#define SAVORYWHEEL_APPS_CTL_STATUS_COMMAND_HPP

#include <ctl/command.hpp>

namespace savorywheel::ctl {

/** @brief Shows configuration versions, moves and overrides. */
class status_command final : public command {
public:
    void add_to(CLI::App& parent) override;
    [[nodiscard]] bool is_selected() const override;
    [[nodiscard]] exit_code run(const node_client& node) override;

private:
    CLI::App* self_{};
};

} // namespace savorywheel::ctl

#endif
