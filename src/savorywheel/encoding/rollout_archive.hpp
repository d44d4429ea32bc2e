#ifndef SAVORYWHEEL_ENCODING_ROLLOUT_ARCHIVE_HPP
#define SAVORYWHEEL_ENCODING_ROLLOUT_ARCHIVE_HPP

#include <savorywheel/encoding/core_archive.hpp>
#include <savorywheel/encoding/number_archive.hpp>
#include <savorywheel/rollout/evidence_report.hpp>
#include <savorywheel/rollout/move_evidence.hpp>
#include <savorywheel/rollout/withdrawal_notice.hpp>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace savorywheel {

/** @brief Writes the bucket counts without the leading empty buckets, whose number comes first. */
template<typename Archive>
void save(Archive& archive, const latency_histogram& histogram)
{
    const auto counts = histogram.counts();
    const auto first = std::ranges::find_if(counts, [](std::uint32_t count) { return count > 0; });
    const auto empty = static_cast<std::uint8_t>(first - counts.begin());
    archive(cereal::make_nvp("empty", empty),
            cereal::make_nvp("counts", std::vector<std::uint32_t>(first, counts.end())));
}

template<typename Archive>
void load(Archive& archive, latency_histogram& histogram)
{
    std::uint8_t empty{};
    std::vector<std::uint32_t> counts;
    archive_number(archive, "empty", empty);
    archive(cereal::make_nvp("counts", counts));
    counts.insert(counts.begin(), empty, 0);
    histogram = latency_histogram{counts};
}

template<typename Archive>
void serialize(Archive& archive, route_evidence& item)
{
    archive(cereal::make_nvp("service", item.service), cereal::make_nvp("version", item.version),
            cereal::make_nvp("route", item.route),
            cereal::make_nvp("other_region", item.other_region),
            cereal::make_nvp("calls", item.calls), cereal::make_nvp("failures", item.failures),
            cereal::make_nvp("failed_at", item.failed_at),
            cereal::make_nvp("latencies", item.latencies));
}

template<typename Archive>
void serialize(Archive& archive, move_evidence& item)
{
    archive(cereal::make_nvp("asked_at", item.asked_at),
            cereal::make_nvp("evidence", item.evidence));
}

template<typename Archive>
void serialize(Archive& archive, evidence_report& report)
{
    archive(cereal::make_nvp("items", report.items));
}

template<typename Archive>
void serialize(Archive& archive, withdrawal_notice& notice)
{
    archive(cereal::make_nvp("service", notice.service),
            cereal::make_nvp("asked_at", notice.asked_at),
            cereal::make_nvp("issuer", notice.issuer), cereal::make_nvp("reason", notice.reason));
}

} // namespace savorywheel

#endif
