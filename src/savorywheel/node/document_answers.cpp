#include <savorywheel/encoding/document_answer_codec.hpp>
#include <savorywheel/node/document_answers.hpp>

#include <tuple>

namespace savorywheel {

void document_answers::keep(operator_configuration previous, std::uint64_t revision)
{
    if (revision != 0) {
        history_.add(std::move(previous), revision);
    }
}

bool document_answers::has_newer(const document_request& request) const
{
    return std::tuple{documents_.configuration.version, documents_.revision} >
           std::tuple{request.version, request.revision};
}

const std::vector<std::byte>& document_answers::answer(const document_request& request)
{
    if (!has_newer(request)) {
        orders_only_ = encode_document_answer({documents_.answer(request), std::nullopt});
        return orders_only_;
    }
    const auto* base = history_.find(request);
    const auto key = base == nullptr ? answer_key{} : answer_key{request.version, request.revision};
    auto known = encoded_.find(key);
    if (known == encoded_.end()) {
        known = encoded_.emplace(key, encode_answer(request, base)).first;
    }
    const auto& [bytes, is_delta] = known->second;
    (is_delta ? counters_.delta_answers : counters_.whole_answers) += 1;
    (is_delta ? counters_.delta_bytes : counters_.whole_bytes) += bytes.size();
    return bytes;
}

document_answers::encoded_answer
document_answers::encode_answer(const document_request& request,
                                const configuration_history::entry* base) const
{
    if (base == nullptr) {
        return {encode_document_answer({documents_.answer(request), std::nullopt}), false};
    }
    document_answer answer;
    answer.documents.revision = documents_.revision;
    answer.documents.orders = documents_.orders;
    answer.delta =
        make_configuration_delta(base->configuration, base->revision, documents_.configuration);
    return {encode_document_answer(answer), true};
}

} // namespace savorywheel
