#ifndef SAVORYWHEEL_APPS_CTL_EXPLAIN_COMMAND_HPP
#define SAVORYWHEEL_APPS_CTL_EXPLAIN_COMMAND_HPP

#include <ctl/command.hpp>

#include <string>
#include <vector>

namespace savorywheel::ctl {

/** @brief Explains the outcome of requests from log files; sends no request to a node. */
class explain_command final : public command {
public:
    void add_to(CLI::App& parent) override;
    [[nodiscard]] bool is_selected() const override;
    [[nodiscard]] exit_code run(const node_client& node) override;

private:
    CLI::App* self_{};
    std::vector<std::string> ids_;
    std::vector<std::string> logs_;
    bool brief_{};
};

} // namespace savorywheel::ctl

#endif
