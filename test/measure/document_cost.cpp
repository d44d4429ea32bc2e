#include <savorywheel/config/configuration_delta.hpp>
#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/encoding/document_answer_codec.hpp>
#include <savorywheel/rollout/mesh_state_builder.hpp>
#include <savorywheel/routing/host_table.hpp>
#include <savorywheel/routing/tenant_table.hpp>

#include <fmt/format.h>
#include <platform/main_configuration_decoder.hpp>
#include <platform/measured_configuration.hpp>

#include <ctime>
#include <functional>
#include <string_view>

namespace savorywheel::platform::test {

namespace {

constexpr int rounds = 50;

/** Prints the processor time of one call, in microseconds. */
void measure(std::string_view name, const std::function<void()>& work)
{
    const auto start = std::clock();
    for (int i = 0; i < rounds; ++i) {
        work();
    }
    const auto used = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    fmt::print("{:44} {:8.0f} us\n", name, used * 1e6 / rounds);
}

void measure_all()
{
    const auto text = measured_configuration(7).dump();
    const main_configuration_decoder decoder;
    const auto base = *decoder.decode(text);
    const auto target = *decoder.decode(measured_configuration(8).dump());
    document_answer whole;
    whole.documents.configuration = target;
    whole.documents.revision = 9;
    document_answer changed;
    changed.documents.revision = 9;
    changed.delta = make_configuration_delta(base, 8, target);
    const auto whole_bytes = encode_document_answer(whole);
    const auto changed_bytes = encode_document_answer(changed);
    fmt::print("JSON {} B, encoded {} B, compressed answer {} B, answer with a difference {} B\n",
               text.size(), encode(whole.documents).size(), whole_bytes.size(),
               changed_bytes.size());
    measure("decode the JSON object", [&] { static_cast<void>(decoder.decode(text)); });
    measure("encode and compress the whole answer",
            [&] { static_cast<void>(encode_document_answer(whole)); });
    measure("decode the whole answer",
            [&] { static_cast<void>(decode_document_answer(whole_bytes)); });
    measure("make and encode a difference", [&] {
        changed.delta = make_configuration_delta(base, 8, target);
        static_cast<void>(encode_document_answer(changed));
    });
    measure("decode and apply a difference", [&] {
        const auto answer = decode_document_answer(changed_bytes);
        static_cast<void>(apply_configuration_delta(base, 8, *answer->delta));
    });
    measure("copy a configuration", [&] {
        const auto copy = target; // NOLINT(performance-unnecessary-copy-initialization)
        static_cast<void>(copy.hosts.data());
    });
    measure("compare two configurations", [&] {
        static_cast<void>(base.tenants == target.tenants && base.hosts == target.hosts);
    });
    measure("build the host table", [&] { static_cast<void>(host_table{target.hosts}); });
    measure("build the tenant table", [&] { static_cast<void>(tenant_table{target.tenants}); });
}

} // namespace

} // namespace savorywheel::platform::test

int main()
{
    savorywheel::platform::test::measure_all();
}
