#ifndef SAVORYWHEEL_TEST_ADMIN_UNRELIABLE_STORE_HPP
#define SAVORYWHEEL_TEST_ADMIN_UNRELIABLE_STORE_HPP

#include <savorywheel/store/object_store.hpp>

#include <standin/platform/object_table.hpp>

#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace savorywheel::test {

/** @brief Injected fault of one write. */
enum class write_fault : std::uint8_t {
    none,         /**< Executed and acknowledged. */
    unavailable,  /**< Rejected without execution. */
    answer_lost,  /**< Executed, but the response is lost. */
    request_lost, /**< Not executed; the writer gets no response. */
    late,         /**< Executed later; the writer gets no response. */
    outrun        /**< Another writer writes first. */
};

/** @brief In-memory object store whose writes fail according to a script. */
class unreliable_store final : public object_store {
public:
    using script = std::vector<write_fault>;

    /** @brief Sets the faults of the next writes; writes after these succeed. */
    void set_faults(script faults) { faults_ = {faults.rbegin(), faults.rend()}; }

    /** @brief Sets the write that the concurrent writer executes first. */
    void set_rival(std::function<void()> rival) { rival_ = std::move(rival); }

    /** @brief Executes the delayed writes. */
    void deliver_late_writes()
    {
        for (const auto& write : std::exchange(late_, {})) {
            static_cast<void>(write());
        }
    }

    [[nodiscard]] outcome<stored_object> get(std::string_view key) override
    {
        return table_.get(key);
    }

    [[nodiscard]] outcome<std::uint64_t> create(std::string_view key,
                                                std::string_view value) override
    {
        return write(
            [this, k = std::string{key}, v = std::string{value}] { return table_.create(k, v); });
    }

    [[nodiscard]] outcome<std::uint64_t> update(std::string_view key, std::string_view value,
                                                std::uint64_t expected) override
    {
        return write([this, k = std::string{key}, v = std::string{value}, expected] {
            return table_.update(k, v, expected);
        });
    }

    [[nodiscard]] outcome<std::uint64_t> remove(std::string_view key,
                                                std::uint64_t expected) override
    {
        return table_.remove(key, expected);
    }

    [[nodiscard]] outcome<object_list> list(std::string_view prefix,
                                            std::string_view after) override
    {
        return table_.list(prefix, after);
    }

    [[nodiscard]] outcome<object_list> watch(std::string_view prefix, std::uint64_t after,
                                             std::chrono::milliseconds patience) override
    {
        return table_.watch(prefix, after, patience);
    }

private:
    using operation = std::function<outcome<std::uint64_t>()>;

    outcome<std::uint64_t> write(const operation& run)
    {
        const failure lost{failure_code::unknown_outcome, "no answer"};
        switch (next_fault()) {
        case write_fault::none:
            return run();
        case write_fault::unavailable:
            return failure{failure_code::unavailable, "refused"};
        case write_fault::answer_lost:
            static_cast<void>(run());
            return lost;
        case write_fault::request_lost:
            return lost;
        case write_fault::late:
            late_.push_back(run);
            return lost;
        case write_fault::outrun:
            rival_();
            return run();
        }
        return lost;
    }

    write_fault next_fault()
    {
        if (faults_.empty()) {
            return write_fault::none;
        }
        const auto fault = faults_.back();
        faults_.pop_back();
        return fault;
    }

    standin::object_table table_;
    script faults_;
    std::function<void()> rival_ = [] {};
    std::vector<operation> late_;
};

} // namespace savorywheel::test

#endif
