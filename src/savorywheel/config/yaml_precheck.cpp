#include <savorywheel/config/yaml_position.hpp>
#include <savorywheel/config/yaml_precheck.hpp>

#include <fmt/format.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <sstream>
#include <string>

namespace savorywheel {

namespace {

/** Reports aliases and additional documents from parser events, without building a document. */
class structure_checker final : public YAML::EventHandler {
public:
    explicit structure_checker(findings& report) noexcept : report_{report} {}

    void OnDocumentStart(const YAML::Mark& mark) override
    {
        if (++documents_ == 2) {
            report_.add(position_at(mark), "a second document", "one document");
        }
    }

    void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override
    {
        report_.add(position_at(mark), "an alias", "the value itself");
    }

    void OnDocumentEnd() override {}
    void OnNull(const YAML::Mark& /*mark*/, YAML::anchor_t /*anchor*/) override {}
    void OnScalar(const YAML::Mark& /*mark*/, const std::string& /*tag*/, YAML::anchor_t /*anchor*/,
                  const std::string& /*value*/) override
    {
    }
    void OnSequenceStart(const YAML::Mark& /*mark*/, const std::string& /*tag*/,
                         YAML::anchor_t /*anchor*/, YAML::EmitterStyle::value /*style*/) override
    {
    }
    void OnSequenceEnd() override {}
    void OnMapStart(const YAML::Mark& /*mark*/, const std::string& /*tag*/,
                    YAML::anchor_t /*anchor*/, YAML::EmitterStyle::value /*style*/) override
    {
    }
    void OnMapEnd() override {}

private:
    findings& report_;
    unsigned documents_{};
};

} // namespace

bool precheck_yaml(std::string_view text, findings& report)
{
    const auto before = report.items().size();
    try {
        std::istringstream source{std::string{text}};
        YAML::Parser parser{source};
        structure_checker detector{report};
        // Stops at the second document: on some malformed input the parser yields documents
        // without end.
        if (parser.HandleNextDocument(detector)) {
            parser.HandleNextDocument(detector);
        }
    }
    catch (const YAML::Exception& error) {
        report.add(position_at(error.mark), fmt::format("a text that is not YAML ({})", error.msg),
                   "YAML");
    }
    return report.items().size() == before;
}

} // namespace savorywheel
