#ifndef SAVORYWHEEL_CONFIG_MESH_TEXT_READER_HPP
#define SAVORYWHEEL_CONFIG_MESH_TEXT_READER_HPP

#include <savorywheel/config/mesh_spec.hpp>
#include <savorywheel/config/place_index.hpp>
#include <savorywheel/core/findings.hpp>

#include <cstddef>
#include <string_view>

namespace savorywheel {

/** @brief Largest operators' text, in bytes; the platform holds no larger value. */
inline constexpr std::size_t max_text_bytes = 1'000'000;

/** @brief Reads the operators' YAML text into typed form; it does not judge the meaning. */
class mesh_text_reader {
public:
    /**
     * @brief Reads a text.
     * @param text YAML text.
     * @param report Collects faults of form: not YAML, unknown keys, values of a wrong type.
     * @return What could be read; only whole if no fault was added.
     */
    [[nodiscard]] mesh_spec read(std::string_view text, findings& report);

    /** @return Where the parts stand in the text that was read last. */
    [[nodiscard]] const place_index& places() const noexcept { return places_; }

private:
    place_index places_;
};

} // namespace savorywheel

#endif
