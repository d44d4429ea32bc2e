#ifndef SAVORYWHEEL_APPS_CTL_SETTLE_COMMAND_HPP
#define SAVORYWHEEL_APPS_CTL_SETTLE_COMMAND_HPP

#include <ctl/command.hpp>

#include <string>

namespace savorywheel::ctl {

/** @brief Resolves the unknown outcome of an operation. */
class settle_command final : public command {
public:
    void add_to(CLI::App& parent) override;
    [[nodiscard]] bool is_selected() const override;
    [[nodiscard]] exit_code run(const node_client& node) override;

private:
    CLI::App* self_{};
    std::string operation_;
};

} // namespace savorywheel::ctl

#endif
