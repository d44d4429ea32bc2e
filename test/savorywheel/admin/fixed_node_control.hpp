#ifndef SAVORYWHEEL_TEST_ADMIN_FIXED_NODE_CONTROL_HPP
#define SAVORYWHEEL_TEST_ADMIN_FIXED_NODE_CONTROL_HPP

#include <savorywheel/admin/node_control.hpp>

#include <optional>

namespace savorywheel::test {

/** @brief Fake control thread with a fixed configuration; records backend announcements. */
class fixed_node_control final : public node_control {
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

    void publish_commit(const commit& /*change*/) override {}

    void announce_backend(const backend_server& backend) override { last_announcement_ = backend; }

    outcome<bool> apply_announcement(const backend_announcement& announcement) override
    {
        if (refusal_) {
            return *refusal_;
        }
        last_announcement_ = announcement.backend;
        return true;
    }

    /** @brief Refuses all later announcements. */
    void refuse_announcements(failure reason) { refusal_ = std::move(reason); }

    outcome<bool> deregister_backend(std::string_view identity) override
    {
        if (last_announcement_ && last_announcement_->identity == identity) {
            last_announcement_.reset();
        }
        return true;
    }

    /** @return Backend server of the last announcement; std::nullopt after its deregistration. */
    [[nodiscard]] const std::optional<backend_server>& last_announcement() const noexcept
    {
        return last_announcement_;
    }

private:
    mesh_state state_;
    std::optional<backend_server> last_announcement_;
    std::optional<failure> refusal_;
};

} // namespace savorywheel::test

#endif
