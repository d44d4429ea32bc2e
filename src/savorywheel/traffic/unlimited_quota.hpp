#ifndef SAVORYWHEEL_TRAFFIC_UNLIMITED_QUOTA_HPP
#define SAVORYWHEEL_TRAFFIC_UNLIMITED_QUOTA_HPP

#include <savorywheel/traffic/tenant_quota.hpp>

namespace savorywheel {

/** @brief Grants each request. */
class unlimited_quota final : public tenant_quota {
public:
    [[nodiscard]] std::optional<quota_token> try_acquire(const tenant_entry& /*tenant*/) override
    {
        return quota_token{};
    }

    void acquire(const tenant_entry& /*tenant*/, callback decided) override { decided({}); }

    void give_back(const tenant_entry& /*tenant*/, const quota_token& /*token*/) override {}
};

} // namespace savorywheel

#endif
