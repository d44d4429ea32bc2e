#ifndef SAVORYWHEEL_TEST_ADMIN_UNRELIABLE_STORE_HPP
#define SAVORYWHEEL_TEST_ADMIN_UNRELIABLE_STORE_HPP

#include <savorywheel/store/object_store.hpp>

#include <standin/platform/in_memory_object_store.hpp>

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
    delayed,      /**< Executed later; the writer gets no response. */
    overtaken     /**< Another writer writes first. */
};

/** @brief In-memory object store whose writes fail according to a script. */
class unreliable_store final : public object_store {
public:
    using script = std::vector<write_fault>;

    /** @brief Sets the faults of the next writes; writes after these succeed. */
    void set_faults(script faults) { faults_ = {faults.rbegin(), faults.rend()}; }

    /** @brief Sets the write that the concurrent writer executes first. */
    void set_concurrent_writer(std::function<void()> concurrent_writer)
    {
        concurrent_writer_ = std::move(concurrent_writer);
    }

    /** @brief Executes the delayed writes. */
    void deliver_delayed_writes()
    {
        for (const auto& write : std::exchange(delayed_, {})) {
            static_cast<void>(write());
        }
    }

    [[nodiscard]] outcome<stored_object> get(std::string_view key) override
    {
        return store_.get(key);
    }

    [[nodiscard]] outcome<std::uint64_t> create(std::string_view key,
                                                std::string_view value) override
    {
        return write(
            [this, k = std::string{key}, v = std::string{value}] { return store_.create(k, v); });
    }

    [[nodiscard]] outcome<std::uint64_t> update(std::string_view key, std::string_view value,
                                                std::uint64_t expected) override
    {
        return write([this, k = std::string{key}, v = std::string{value}, expected] {
            return store_.update(k, v, expected);
        });
    }

    [[nodiscard]] outcome<std::uint64_t> remove(std::string_view key,
                                                std::uint64_t expected) override
    {
        return store_.remove(key, expected);
    }

    [[nodiscard]] outcome<object_list> list(std::string_view prefix,
                                            std::string_view after) override
    {
        return store_.list(prefix, after);
    }

    [[nodiscard]] outcome<object_list> watch(std::string_view prefix, std::uint64_t after,
                                             std::chrono::milliseconds max_wait) override
    {
        return store_.watch(prefix, after, max_wait);
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
        case write_fault::delayed:
            delayed_.push_back(run);
            return lost;
        case write_fault::overtaken:
            concurrent_writer_();
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

    standin::in_memory_object_store store_;
    script faults_;
    std::function<void()> concurrent_writer_ = [] {};
    std::vector<operation> delayed_;
};

} // namespace savorywheel::test

#endif
