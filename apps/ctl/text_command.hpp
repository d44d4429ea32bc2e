#ifndef SAVORYWHEEL_APPS_CTL_TEXT_COMMAND_HPP
#define SAVORYWHEEL_APPS_CTL_TEXT_COMMAND_HPP

#include <ctl/command.hpp>

namespace savorywheel::ctl {

/** @brief Prints the configuration text applied last. */
class text_command final : public command {
public:
    void add_to(CLI::App& parent) override;
    [[nodiscard]] bool is_selected() const override;
    [[nodiscard]] exit_code run(const node_client& node) override;

private:
    CLI::App* self_{};
};

} // namespace savorywheel::ctl

#endif
