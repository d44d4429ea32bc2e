#ifndef SAVORYWHEEL_TEST_SUPPORT_VERSION_HISTORY_HPP
#define SAVORYWHEEL_TEST_SUPPORT_VERSION_HISTORY_HPP

#include <savorywheel/core/config_version.hpp>

#include <map>
#include <string>

namespace savorywheel::test {

/** @brief Versions that nodes were seen to use; judges that none ever goes back. */
class version_history {
public:
    /** @brief Records what a node uses; version zero means that it uses none. */
    void record(const std::string& node, config_version version)
    {
        if (version == config_version{}) {
            return;
        }
        auto& latest = latest_[node];
        if (version < latest) {
            faults_ += node + " went back from " + std::to_string(latest.number) + " to " +
                       std::to_string(version.number) + "; ";
        }
        latest = version;
    }

    /** @return All returns to an older version, in words; empty if there was none. */
    [[nodiscard]] const std::string& faults() const noexcept { return faults_; }

private:
    std::map<std::string, config_version> latest_;
    std::string faults_;
};

} // namespace savorywheel::test

#endif
