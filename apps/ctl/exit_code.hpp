#ifndef SAVORYWHEEL_APPS_CTL_EXIT_CODE_HPP
#define SAVORYWHEEL_APPS_CTL_EXIT_CODE_HPP

namespace savorywheel::ctl {

/**
 * @brief Exit codes of savorywheelctl, as docs/OPERATORS.md lists them.
 *
 * The check and diff commands change nothing; they return `refused` for a file with findings, since
 * applying it would be refused.
 */
enum class exit_code : int {
    done = 0,     /**< Done, accepted, or without findings. */
    failed = 1,   /**< The node did not respond, or the request failed. */
    usage = 2,    /**< The command line or a file is invalid. */
    refused = 3,  /**< The change was refused, or the file has findings; nothing was changed. */
    unknown = 4,  /**< The outcome is unknown; settle the operation. */
    forbidden = 5 /**< Unknown operator key; nothing was changed. */
};

} // namespace savorywheel::ctl

#endif
