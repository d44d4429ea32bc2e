#ifndef SAVORYWHEEL_CORE_OUTCOME_HPP
#define SAVORYWHEEL_CORE_OUTCOME_HPP

#include <savorywheel/core/failure.hpp>

#include <optional>
#include <utility>

namespace savorywheel {

/**
 * @brief Result of an operation: a value, or the failure that prevented it.
 * @tparam Type Type of the value.
 */
template<typename Type>
class outcome {
public:
    // NOLINTNEXTLINE(google-explicit-constructor): a value converts as it does to std::optional.
    outcome(Type value) : value_{std::move(value)} {}

    // NOLINTNEXTLINE(google-explicit-constructor): a failure can be returned like a value.
    outcome(failure reason) : reason_{std::move(reason)} {}

    /** @return True if there is a value. */
    [[nodiscard]] explicit operator bool() const noexcept { return value_.has_value(); }

    /**
     * @return The value.
     * @warning There must be a value.
     */
    [[nodiscard]] const Type& operator*() const noexcept { return *value_; }

    /** @copydoc operator*() const */
    [[nodiscard]] Type& operator*() noexcept { return *value_; }

    /** @copydoc operator*() const */
    [[nodiscard]] const Type* operator->() const noexcept { return &*value_; }

    /** @copydoc operator*() const */
    [[nodiscard]] Type* operator->() noexcept { return &*value_; }

    /** @return The value; std::nullopt after a failure. */
    [[nodiscard]] const std::optional<Type>& value() const noexcept { return value_; }

    /** @return The failure; its code is none if there is a value. */
    [[nodiscard]] const failure& reason() const noexcept { return reason_; }

private:
    std::optional<Type> value_;
    failure reason_;
};

} // namespace savorywheel

#endif
