#ifndef SAVORYWHEEL_APPS_LOAD_CHANGE_RESULT_HPP
#define SAVORYWHEEL_APPS_LOAD_CHANGE_RESULT_HPP

namespace savorywheel::load {

/** @brief Times of one change of configuration. */
struct change_result {
    /** @brief From sending the change until it was accepted. */
    double acceptance_ms{};
    /** @brief From acceptance until it was in force at the last node; zero if it was before. */
    double convergence_ms{};
    /** @brief From sending the change until it was in force at the last node. */
    double total_ms{};
};

} // namespace savorywheel::load

#endif
