#include <savorywheel/node/order_appender.hpp>

#include <utility>

namespace savorywheel {

void order_appender::append(const commit& change, const callback& done)
{
    const auto& service = change.upserts.front();
    const auto* known = environment_.documents().find_order(service.spec.name);
    if (known == nullptr || !service.move) {
        environment_.loop.post([done] {
            done(failure{failure_code::conflict, "the order does not exist"});
        });
        return;
    }
    auto order = *known;
    order.record = rollout_record{*service.move, service.weights};
    const auto key = environment_.codec.status_key(order.service);
    const auto status = environment_.codec.encode_status(order, service.move->status);
    environment_.worker.submit(
        [this, key, status, revision = order.revision, done](object_store& store) {
            const auto written = store.update(key, status, revision);
            auto result = written ? outcome<bool>{true} : outcome<bool>{written.reason()};
            environment_.loop.post([done, item = std::move(result)] { done(item); });
        });
}

} // namespace savorywheel
