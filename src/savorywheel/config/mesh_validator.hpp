#ifndef SAVORYWHEEL_CONFIG_MESH_VALIDATOR_HPP
#define SAVORYWHEEL_CONFIG_MESH_VALIDATOR_HPP

#include <savorywheel/config/mesh_spec.hpp>
#include <savorywheel/config/mesh_state.hpp>
#include <savorywheel/config/position_index.hpp>
#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/findings.hpp>

namespace savorywheel {

/** @brief Judges the meaning of an operators' text. */
class mesh_validator {
public:
    /**
     * @param positions Where the parts of the text stand; must outlive the validator.
     * @param now Calendar time against which deadlines are judged.
     * @param accepted Accepted configuration, or nothing; must outlive the validator. A deadline
     * that passed since it was accepted is no fault.
     */
    mesh_validator(const position_index& positions, calendar_time now,
                   const mesh_state* accepted = nullptr) noexcept
        : positions_{positions}, now_{now}, accepted_{accepted}
    {
    }

    /**
     * @brief Checks names, dependencies, routes, weights and deadlines.
     * @param spec The text in typed form.
     * @param report Collects all faults.
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
