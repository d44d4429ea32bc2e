#ifndef SAVORYWHEEL_ROLLOUT_EVIDENCE_TABLE_HPP
#define SAVORYWHEEL_ROLLOUT_EVIDENCE_TABLE_HPP

#include <savorywheel/rollout/route_evidence.hpp>

#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace savorywheel {

/** @brief Evidence of many services, added up by service, version, route and distance. */
class evidence_table {
public:
    /** @return The entry, created if it does not exist. */
    [[nodiscard]] route_evidence& entry(const service_name& service, const version_name& version,
                                        std::string_view route, bool other_region);

    /** @brief Adds evidence to its entry. */
    void add(const route_evidence& item);

    /** @return All entries of a service; the table no longer has them. */
    [[nodiscard]] std::vector<route_evidence> extract(const service_name& service);

    /** @return All entries, which the table keeps. */
    [[nodiscard]] std::vector<route_evidence> all() const;

    /** @return All entries; the table is empty then. */
    [[nodiscard]] std::vector<route_evidence> extract_all();

private:
    using key = std::tuple<service_name, version_name, std::string, bool>;

    std::map<key, route_evidence> entries_;
};

} // namespace savorywheel

#endif
