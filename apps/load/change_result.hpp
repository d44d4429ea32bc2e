#ifndef SAVORYWHEEL_APPS_LOAD_CHANGE_RESULT_HPP
#define SAVORYWHEEL_APPS_LOAD_CHANGE_RESULT_HPP

namespace savorywheel::load {

/** @brief Times of one configuration change. */
struct change_result {
    /** @brief From sending the change until its acceptance. */
    double acceptance_ms{};
    /** @brief From acceptance until it was in force at all nodes; zero if that came first. */
    double convergence_ms{};
    /** @brief From sending the change until it was in force at all nodes. */
    double total_ms{};
};

} // namespace savorywheel::load

#endif
