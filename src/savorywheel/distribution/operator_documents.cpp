#include <savorywheel/config/rollout_progress.hpp>
#include <savorywheel/distribution/operator_documents.hpp>
#include <savorywheel/store/store_revision.hpp>

#include <xxhash.h>

#include <algorithm>
#include <numeric>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace savorywheel {

namespace {

std::uint64_t digest_of(std::string_view name, std::uint64_t revision)
{
    return XXH3_64bits_withSeed(name.data(), name.size(), revision);
}

bool is_restored(std::uint64_t revision)
{
    return store_revision::of(revision).era > 0;
}

/**
 * After a restore, nodes may have different contents under the same revision, so that it does not
 * identify the document alone.
 */
std::uint64_t digest_of(std::string_view name, std::uint64_t revision, std::uint64_t content)
{
    const auto digest = digest_of(name, revision);
    return is_restored(revision) ? digest_of(name, digest ^ content) : digest;
}

} // namespace

config_version operator_documents::revision_sum() const noexcept
{
    return config_version{std::accumulate(
        orders.begin(), orders.end(), revision,
        [](std::uint64_t sum, const rollout_order& order) { return sum + order.revision; })};
}

configuration_head operator_documents::head() const
{
    configuration_head result{revision_sum(), configuration.version, 0};
    if (revision != 0) {
        // Service names are not empty, so an order never has the name of the configuration.
        result.digest = digest_of({}, revision, configuration.version.number);
    }
    for (const auto& order : orders) {
        result.digest ^= digest_of(order.service.str(), order.revision, rollout_progress(order));
    }
    return result;
}

bool operator_documents::lacks_any_of(const configuration_head& remote) const
{
    const auto own = head();
    return remote.digest != own.digest &&
           (remote.operator_version > own.operator_version || remote.version >= own.version);
}

bool operator_documents::is_newer(config_version candidate,
                                  std::uint64_t candidate_revision) const noexcept
{
    return std::tuple{candidate, candidate_revision} > std::tuple{configuration.version, revision};
}

bool operator_documents::merge(const operator_configuration& candidate,
                               std::uint64_t candidate_revision)
{
    const auto newest = std::max(revision, candidate_revision);
    if (!is_newer(candidate.version, candidate_revision)) {
        const bool is_older = candidate_revision != 0 && is_restored(newest);
        const bool raised = is_older && std::exchange(revision, newest) != newest;
        unwritten_configuration = unwritten_configuration || raised;
        return raised;
    }
    unwritten_configuration = candidate_revision < newest;
    configuration = candidate;
    revision = is_restored(newest) ? newest : candidate_revision;
    return true;
}

bool operator_documents::merge(const rollout_order& candidate)
{
    const auto known = std::ranges::find(orders, candidate.service, &rollout_order::service);
    if (known == orders.end()) {
        orders.push_back(candidate);
        return true;
    }
    if (candidate.revision <= known->revision) {
        return candidate.revision == known->revision && merge_record(*known, candidate);
    }
    replace(*known, candidate);
    return true;
}

void operator_documents::replace(rollout_order& known, const rollout_order& candidate)
{
    const auto before = std::exchange(known, candidate);
    const bool was_unwritten = unwritten_records.erase(known.service) > 0;
    const auto old = store_revision::of(before.revision);
    const auto current = store_revision::of(known.revision);
    // Once the record is in the store again, a lower one is a new start by the operators.
    if (current.era > old.era || was_unwritten) {
        static_cast<void>(merge_record(known, before));
    }
    // An order under a revision that the lost one had reached already may be from the backup.
    if (current.era > old.era && current.raw <= old.raw && before.record &&
        !is_same_rollout(before, known)) {
        std::erase_if(replaced, [&known](const rollout_order& item) {
            return item.service == known.service;
        });
        replaced.push_back(before);
        return;
    }
    const auto lost = std::ranges::find(replaced, known.service, &rollout_order::service);
    if (lost != replaced.end() && is_same_rollout(*lost, known)) {
        static_cast<void>(merge_record(known, *lost));
        replaced.erase(lost);
    }
}

bool operator_documents::merge_record(rollout_order& known, const rollout_order& candidate)
{
    if (!is_restored(known.revision) || !is_same_rollout(known, candidate) ||
        rollout_progress(candidate) <= rollout_progress(known)) {
        return false;
    }
    known.record = candidate.record;
    unwritten_records.insert(known.service);
    return true;
}

bool operator_documents::merge(const operator_documents& candidates)
{
    bool changed = merge(candidates.configuration, candidates.revision);
    for (const auto& order : candidates.orders) {
        changed = merge(order) || changed;
    }
    return changed;
}

document_request operator_documents::request() const noexcept
{
    return {configuration.version, revision};
}

operator_documents operator_documents::answer(const document_request& request) const
{
    if (std::tuple{configuration.version, revision} >
        std::tuple{request.version, request.revision}) {
        return *this;
    }
    operator_documents result;
    result.orders = orders;
    return result;
}

const rollout_order* operator_documents::find_order(const service_name& service) const noexcept
{
    const auto found = std::ranges::find(orders, service, &rollout_order::service);
    return found == orders.end() ? nullptr : &*found;
}

} // namespace savorywheel
