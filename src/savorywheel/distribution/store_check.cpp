#include <savorywheel/distribution/store_check.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace savorywheel {

namespace {

using std::chrono::milliseconds;

/** Time for a response on a connection that may be silent. */
constexpr milliseconds first_timeout{300};
/** Time for a response on a new connection; a busy link may delay each way by half a second. */
constexpr milliseconds second_timeout{1000};

} // namespace

store_check::store_check(std::vector<std::string> prefixes, environment env)
    : prefixes_{std::move(prefixes)}, environment_{std::move(env)}, worker_{environment_.store}
{
}

void store_check::start(std::optional<std::uint64_t> after)
{
    worker_.submit(
        [this, after](object_store& /*store*/) { environment_.done(run(prefixes_, after)); });
}

void store_check::start_first(std::optional<std::uint64_t> after)
{
    worker_.submit([this, after](object_store& /*store*/) {
        environment_.done(run(std::span{prefixes_}.first(1), after));
    });
}

outcome<store_check_result> store_check::run(std::span<const std::string> prefixes,
                                             std::optional<std::uint64_t> after)
{
    std::optional<store_check_result> result;
    for (const auto& prefix : prefixes) {
        auto part = read(prefix, after);
        if (!part) {
            return part.reason();
        }
        if (!result) {
            result = {part->sent, part->sent_since_boot, part->listed.revision};
        }
        result->revision = std::min(result->revision, part->listed.revision);
        environment_.objects(prefix, std::move(part->listed.objects));
    }
    return result.value_or(store_check_result{environment_.time.now(),
                                              environment_.time.since_boot(), after.value_or(0)});
}

outcome<store_check::reading> store_check::read(const std::string& prefix,
                                                std::optional<std::uint64_t> after)
{
    auto timeout = first_timeout;
    while (true) {
        const auto sent = environment_.time.now();
        const auto sent_since_boot = environment_.time.since_boot();
        auto listed = environment_.store.read(prefix, after, timeout);
        if (listed) {
            return reading{sent, sent_since_boot, std::move(*listed)};
        }
        const auto code = listed.reason().code;
        if (code == failure_code::not_found && after) {
            // The store has compacted this revision.
            after.reset();
        }
        else if (code == failure_code::timeout && timeout == first_timeout) {
            timeout = second_timeout;
            const std::array fields{log_field{"objects", prefix},
                                    log_field{"waited_ms", std::to_string(first_timeout.count())}};
            environment_.log.write_decision(event_id::check_repeated, prefix, fields);
        }
        else {
            return listed.reason();
        }
    }
}

} // namespace savorywheel
