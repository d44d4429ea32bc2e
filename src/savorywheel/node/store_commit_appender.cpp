#include <savorywheel/distribution/commit_writer.hpp>
#include <savorywheel/node/store_commit_appender.hpp>

namespace savorywheel {

void store_commit_appender::append(const commit& change, const callback& done)
{
    worker_.submit([this, change, done](object_store& store) {
        auto written = commit_writer{store}.append(change);
        loop_.post([done, written = std::move(written)] { done(written); });
    });
}

} // namespace savorywheel
