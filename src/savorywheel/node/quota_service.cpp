#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/node/quota_service.hpp>
#include <savorywheel/quota/coordinator_choice.hpp>

#include <limits>
#include <utility>

namespace savorywheel {

quota_service::quota_service(const quota_settings& settings, const lease_record& self,
                             environment env)
    : environment_{std::move(env)}, self_{self.peer}, coordinator_{settings, self,
                                                                   environment_.coordinators},
      exchange_{settings.shards, self_,
                environment_.coordinators.shards.leases.random.below(
                    std::numeric_limits<std::uint64_t>::max()),
                exchange_environment()}
{
}

quota_exchange::environment quota_service::exchange_environment()
{
    return {
        environment_.loop.timers(),
        [this](const network_endpoint& peer, const quota_request& request) { send(peer, request); },
        [this](std::uint32_t shard) {
            return coordinator_candidates(shard, environment_.coordinators.members());
        },
        environment_.grants, environment_.coordinators.shards.log};
}

bool quota_service::handles(std::span<const std::byte> payload) noexcept
{
    return !payload.empty() && (payload.front() == std::byte{quota_request_protocol} ||
                                payload.front() == std::byte{quota_grant_protocol});
}

outcome<bool> quota_service::on_datagram(std::span<const std::byte> payload)
{
    if (payload.front() == std::byte{quota_request_protocol}) {
        auto request = decode<quota_request>(payload);
        return request ? queue(payload.size(), [this, item = std::move(*request)] { answer(item); })
                       : outcome<bool>{request.reason()};
    }
    auto grant = decode<quota_grant>(payload);
    return grant ? queue(payload.size(),
                         [this, item = std::move(*grant)] { exchange_.receive(item); })
                 : outcome<bool>{grant.reason()};
}

outcome<bool> quota_service::queue(std::size_t bytes, control_loop::event task)
{
    return environment_.quota.post(bytes, std::move(task))
               ? outcome<bool>{true}
               : failure{failure_code::overload, "event queue full; datagram dropped"};
}

void quota_service::request(std::uint32_t shard, std::vector<quota_request_item> items,
                            duration sent_at)
{
    environment_.loop.post([this, shard, wanted = std::move(items), sent_at] {
        exchange_.request(shard, wanted, sent_at);
    });
}

void quota_service::answer(const quota_request& request)
{
    if (const auto grant = coordinator_.answer(request)) {
        environment_.datagrams.send(request.sender_peer, encode(*grant));
    }
}

void quota_service::send(const network_endpoint& peer, const quota_request& request)
{
    if (peer != self_) {
        environment_.datagrams.send(peer, encode(request));
        return;
    }
    // Posted, as the exchange expects no answer before its call returns.
    environment_.loop.post([this, item = request] {
        if (const auto grant = coordinator_.answer(item)) {
            exchange_.receive(*grant);
        }
    });
}

} // namespace savorywheel
