#include <savorywheel/distribution/commit_decoder.hpp>
#include <savorywheel/distribution/commit_keys.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <fmt/format.h>

#include <utility>

namespace savorywheel {

std::vector<commit> commit_decoder::decode(std::span<const stored_object> objects)
{
    fault_.reset();
    std::vector<commit> commits;
    for (const auto& object : objects) {
        const auto version = version_of_key(object.key);
        if (!version || *version <= position_) {
            continue;
        }
        if (*version != position_.next()) {
            fault_ =
                failure{failure_code::conflict, fmt::format("version {} is missing before {}",
                                                            position_.next().number, object.key)};
            break;
        }
        auto item = decode_json<commit>(object.value);
        if (!item || item->version != *version) {
            fault_ = failure{failure_code::malformed,
                             fmt::format("{} is not a commit of its version", object.key)};
            break;
        }
        position_ = *version;
        commits.push_back(std::move(*item));
    }
    return commits;
}

} // namespace savorywheel
