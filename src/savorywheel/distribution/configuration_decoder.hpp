#ifndef SAVORYWHEEL_DISTRIBUTION_CONFIGURATION_DECODER_HPP
#define SAVORYWHEEL_DISTRIBUTION_CONFIGURATION_DECODER_HPP

#include <savorywheel/config/operator_configuration.hpp>
#include <savorywheel/core/outcome.hpp>

#include <string_view>

namespace savorywheel {

/** @brief Decodes the operators' configuration, which is one object in the object store. */
class configuration_decoder {
public:
    configuration_decoder() = default;
    configuration_decoder(const configuration_decoder&) = delete;
    configuration_decoder& operator=(const configuration_decoder&) = delete;
    configuration_decoder(configuration_decoder&&) = delete;
    configuration_decoder& operator=(configuration_decoder&&) = delete;
    virtual ~configuration_decoder() = default;

    /** @return Key of the configuration object. */
    [[nodiscard]] virtual std::string_view key() const noexcept = 0;

    /**
     * @param document Value of the configuration object.
     * @return The configuration; a failure with code `malformed` if the document is not a complete
     * configuration.
     */
    [[nodiscard]] virtual outcome<operator_configuration>
    decode(std::string_view document) const = 0;
};

} // namespace savorywheel

#endif
