#include <savorywheel/config/mesh_spec_parser.hpp>
#include <savorywheel/config/mesh_validator.hpp>
#include <savorywheel/settings/node_settings_reader.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <support/manual_clock.hpp>

#include <string>

namespace savorywheel::test {

namespace {

constexpr const char* valid_text = R"(failure_domains: [{name: e, region: r}]
services:
- {name: s, depends_on: [], routes: [{path: /, deadline_ms: 1}], versions: [{name: v, weight: 100}]}
)";

constexpr const char* valid_settings = R"(name: n
failure_domain: d
region: r
address: 127.0.0.1
ports: {traffic: 1, admin: 2, peer: 3}
store: 127.0.0.1:4
)";

/** Replaces, removes or repeats some bytes of a valid text. */
std::string mutate(std::string text)
{
    const auto mutations = *rc::gen::inRange(1, 6);
    for (int i = 0; i < mutations && !text.empty(); ++i) {
        const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            text[position] = *rc::gen::element(' ', ':', '[', '}', '-', '\n', '\t', '\0', '\xff');
            break;
        case 1:
            text.erase(position, *rc::gen::inRange<std::size_t>(1, 8));
            break;
        default:
            text.insert(position, text.substr(position, 20));
            break;
        }
    }
    return text;
}

} // namespace

TEST(mutated_documents, accepted_mesh_text_has_all_required_parts)
{
    const bool passed = rc::check([] {
        const manual_clock time;
        findings report;
        mesh_spec_parser reader;
        const auto spec = reader.read(mutate(valid_text), report);
        mesh_validator{reader.positions(), time.calendar_now()}.check(spec, report);
        if (report.empty()) {
            RC_ASSERT(!spec.domains.empty());
            RC_ASSERT(!spec.services.empty());
            RC_ASSERT(!spec.services.front().routes.empty());
        }
    });
    EXPECT_TRUE(passed);
}

TEST(mutated_documents, accepted_settings_have_all_required_values)
{
    const bool passed = rc::check([] {
        findings report;
        const auto settings = read_node_settings(mutate(valid_settings), report);
        if (report.empty()) {
            RC_ASSERT(!settings.name.empty());
            RC_ASSERT(settings.admin.port > 0);
            RC_ASSERT(settings.store.port > 0);
        }
    });
    EXPECT_TRUE(passed);
}

} // namespace savorywheel::test
