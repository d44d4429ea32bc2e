#ifndef SAVORYWHEEL_APPS_CTL_DIFF_COMMAND_HPP
#define SAVORYWHEEL_APPS_CTL_DIFF_COMMAND_HPP

#include <ctl/command.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace savorywheel::ctl {

/** @brief Shows what a configuration file would change, without applying it. */
class diff_command final : public command {
public:
    void add_to(CLI::App& parent) override;
    [[nodiscard]] bool is_selected() const override;
    [[nodiscard]] exit_code run(const node_client& node) override;

private:
    CLI::App* self_{};
    std::string file_;
    std::optional<std::uint64_t> base_version_;
};

} // namespace savorywheel::ctl

#endif
