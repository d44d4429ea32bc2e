#include <savorywheel/distribution/checkpoint_reader.hpp>
#include <savorywheel/distribution/commit_decoder.hpp>
#include <savorywheel/distribution/commit_keys.hpp>
#include <savorywheel/distribution/commit_reader.hpp>

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace savorywheel {

outcome<log_tail> commit_reader::read_after(config_version after)
{
    log_tail tail;
    if (after == config_version{}) {
        auto point = checkpoint_reader{store_}.read_latest();
        if (point) {
            after = point->version;
            tail.batch.base = std::move(*point);
        }
        else if (point.reason().code != failure_code::not_found) {
            return point.reason();
        }
    }
    commit_decoder decoder{after};
    std::string last = commit_key(after);
    for (bool first = true;; first = false) {
        const auto page = store_.list(commit_prefix, last);
        if (!page) {
            return page.reason();
        }
        // A watch from the first page's revision also reports what changes while later pages load.
        tail.revision = first ? page->revision : tail.revision;
        std::ranges::move(decoder.decode(page->objects), std::back_inserter(tail.batch.commits));
        tail.fault = decoder.fault();
        if (page->objects.empty() || tail.fault) {
            break;
        }
        last = page->objects.back().key;
    }
    tail.head = decoder.position();
    return tail;
}

} // namespace savorywheel
