#ifndef SAVORYWHEEL_QUOTA_TENANT_LEDGER_HPP
#define SAVORYWHEEL_QUOTA_TENANT_LEDGER_HPP

#include <savorywheel/quota/quota_grant_item.hpp>
#include <savorywheel/quota/quota_request_item.hpp>
#include <savorywheel/quota/quota_terms.hpp>
#include <savorywheel/quota/refund_limit.hpp>
#include <savorywheel/quota/token_bucket.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace savorywheel {

/** @brief Tokens of one tenant at its coordinator: the bucket, and what the nodes hold. */
class tenant_ledger {
public:
    /** @brief Circumstances of a decision. */
    struct circumstances {
        /** @brief Time since the start of the VM. */
        duration now;
        /** @brief True while tokens of the previous coordinator may be valid. */
        bool after_change{};
        /** @brief True if the request is recent enough for refunds of used tokens. */
        bool recent{};
    };

    /**
     * @param terms Limits of the tenant.
     * @param start Time at which the bucket was empty, since which it fills.
     */
    tenant_ledger(const quota_terms& terms, duration start) noexcept
        : terms_{terms}, bucket_{0, start}, refunds_{terms.capacity, start}
    {
    }

    /** @brief Changes the limits from now on. */
    void set_terms(const quota_terms& terms, duration now) noexcept;

    /**
     * @brief Applies what a node reports, and decides what it receives.
     * @param session Process of the node.
     */
    [[nodiscard]] quota_grant_item decide(std::uint64_t session, const quota_request_item& item,
                                          const circumstances& when);

    /** @return Tokens that nodes may still use, as far as they reported. */
    [[nodiscard]] std::uint64_t outstanding() const noexcept { return outstanding_; }

private:
    /** Valid tokens of a process of a node. */
    struct holding {
        std::uint64_t session{};
        std::uint32_t tokens{};
        duration expires{};
    };

    void expire(duration now);
    [[nodiscard]] holding& holding_of(std::uint64_t session);
    void apply_report(holding& owner, const quota_request_item& item, const circumstances& when);
    void fill(const circumstances& when) noexcept;
    /** Most tokens in the bucket now. */
    [[nodiscard]] double room() const noexcept;
    [[nodiscard]] std::uint32_t available() const noexcept;
    [[nodiscard]] std::uint32_t retry_after_ms() const noexcept;

    quota_terms terms_;
    token_bucket bucket_;
    refund_limit refunds_;
    std::uint64_t outstanding_{};
    std::vector<holding> holdings_;
};

} // namespace savorywheel

#endif
