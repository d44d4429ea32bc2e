#ifndef SAVORYWHEEL_ROLLOUT_EVIDENCE_TABLE_HPP
#define SAVORYWHEEL_ROLLOUT_EVIDENCE_TABLE_HPP

#include <savorywheel/rollout/route_evidence.hpp>

#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace savorywheel {

/** @brief Evidence aggregated by service, version, route and distance. */
class evidence_table {
public:
    /** @return The entry; created if it does not exist. */
    [[nodiscard]] route_evidence& entry(const service_name& service, const version_name& version,
                                        std::string_view route, bool other_region);

    /** @brief Adds counts and latencies to the matching entry. */
    void add(const route_evidence& item);

    /** @brief Removes and returns all entries of a service. */
    [[nodiscard]] std::vector<route_evidence> extract(const service_name& service);

    /** @return Copies of all entries. */
    [[nodiscard]] std::vector<route_evidence> all() const;

    /** @brief Removes and returns all entries. */
    [[nodiscard]] std::vector<route_evidence> extract_all();

private:
    using key = std::tuple<service_name, version_name, std::string, bool>;

    std::map<key, route_evidence> entries_;
};

} // namespace savorywheel

#endif
