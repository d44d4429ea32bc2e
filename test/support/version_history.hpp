#ifndef SAVORYWHEEL_TEST_SUPPORT_VERSION_HISTORY_HPP
#define SAVORYWHEEL_TEST_SUPPORT_VERSION_HISTORY_HPP

#include <savorywheel/core/config_version.hpp>

#include <map>
#include <string>

namespace savorywheel::test {

/** @brief Checks that the version in use at each node never decreases. */
class version_history {
public:
    /** @brief Records the version in use at a node; version zero means none and is ignored. */
    void record(const std::string& node, config_version version)
    {
        if (version == config_version{}) {
            return;
        }
        auto& latest = latest_[node];
        if (version < latest) {
            faults_ += node + " regressed from " + std::to_string(latest.number) + " to " +
                       std::to_string(version.number) + "; ";
        }
        latest = version;
    }

    /** @return Descriptions of all regressions to an older version; empty if there was none. */
    [[nodiscard]] const std::string& faults() const noexcept { return faults_; }

private:
    std::map<std::string, config_version> latest_;
    std::string faults_;
};

} // namespace savorywheel::test

#endif
