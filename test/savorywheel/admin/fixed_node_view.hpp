#ifndef SAVORYWHEEL_TEST_ADMIN_FIXED_NODE_VIEW_HPP
#define SAVORYWHEEL_TEST_ADMIN_FIXED_NODE_VIEW_HPP

#include <savorywheel/admin/node_view.hpp>

#include <optional>

namespace savorywheel::test {

/** @brief Fake control thread with a fixed configuration; records backend announcements. */
class fixed_node_view final : public node_view {
public:
    /** @brief Sets the accepted configuration; initially that before the first commit. */
    void set_configuration(mesh_state state) { state_ = std::move(state); }

    [[nodiscard]] outcome<node_state_dump> dump() override { return node_state_dump{}; }

    [[nodiscard]] outcome<mesh_state> configuration() override { return state_; }

    [[nodiscard]] outcome<std::deque<commit>> history() override { return std::deque<commit>{}; }

    [[nodiscard]] outcome<std::vector<domain_status>> domains() override
    {
        return std::vector<domain_status>{};
    }

    void committed(const commit& /*change*/) override {}

    void announce(const backend_server& backend) override { announced_ = backend; }

    outcome<bool> take(const backend_announcement& announcement) override
    {
        announced_ = announcement.backend;
        return true;
    }

    outcome<bool> withdraw(std::string_view identity) override
    {
        if (announced_ && announced_->identity == identity) {
            announced_.reset();
        }
        return true;
    }

    /** @return Backend server of the last announcement; std::nullopt after its deregistration. */
    [[nodiscard]] const std::optional<backend_server>& announced() const noexcept
    {
        return announced_;
    }

private:
    mesh_state state_;
    std::optional<backend_server> announced_;
};

} // namespace savorywheel::test

#endif
