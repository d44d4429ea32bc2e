#ifndef SAVORYWHEEL_CONFIG_MESH_VALIDATOR_HPP
#define SAVORYWHEEL_CONFIG_MESH_VALIDATOR_HPP

#include <savorywheel/config/mesh_spec.hpp>
#include <savorywheel/config/mesh_state.hpp>
#include <savorywheel/config/position_index.hpp>
#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/findings.hpp>

namespace savorywheel {

/** @brief Checks the semantics of a parsed configuration text. */
class mesh_validator {
public:
    /**
     * @param positions Positions of the parts of the text; must outlive the validator.
     * @param now Calendar time that deadlines must exceed.
     * @param accepted Accepted configuration or nullptr; must outlive the validator. A deadline in
     * the past is valid if the accepted configuration already contains it.
     */
    mesh_validator(const position_index& positions, calendar_time now,
                   const mesh_state* accepted = nullptr) noexcept
        : positions_{positions}, now_{now}, accepted_{accepted}
    {
    }

    /**
     * @brief Checks names, dependencies, routes, weights and deadlines.
     * @param spec The parsed text.
     * @param report Receives all errors.
     */
    void check(const mesh_spec& spec, findings& report) const;

private:
    void check_service(const service_spec& service, std::size_t position, findings& report) const;

    const position_index& positions_;
    calendar_time now_;
    const mesh_state* accepted_;
};

} // namespace savorywheel

#endif
