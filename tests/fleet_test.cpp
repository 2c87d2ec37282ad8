/// Tests of the parsers of settings files and fleet texts: which texts are
/// accepted, and that errors name line, field and remedy.

#define BOOST_TEST_MODULE fleet
#include <boost/test/unit_test.hpp>

#include "shallotford/fleet.h"

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace shallotford;

namespace {

std::string
ReadFile(const std::string& aName)
{
  std::ifstream file(std::string(TEST_DATA_DIR) + "/" + aName);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

struct BrokenSample
{
  const char* m_file;
  std::size_t m_line;
  const char* m_field;  ///< empty if the text is not valid JSON
  const char* m_remedy; ///< part of the remedy
};

constexpr BrokenSample kBrokenSamples[] = {
  { "fleet-revision-zero.json", 2, "revision", "whole number from 1" },
  { "fleet-revision-text.json", 2, "revision", "whole number from 1" },
  { "fleet-revision-missing.json", 1, "revision", "Add \"revision\"" },
  { "fleet-link-region.json", 7, "links[0].to", "Add it to" },
  { "fleet-link-rate.json",
    7,
    "links[0].bytes_per_second",
    "whole number from 1" },
  { "fleet-model-unknown.json",
    22,
    "services[0].model",
    "Add it to \"models\"" },
  { "fleet-kind.json", 44, "services[1].kind", "Use one of" },
  { "fleet-dependency-unknown.json",
    23,
    "services[0].depends_on[0]",
    "Add it to \"services\"" },
  { "fleet-dependency-cycle.json",
    23,
    "services[0].depends_on[0]",
    "Remove one dependency" },
  { "fleet-no-prefill.json",
    24,
    "services[0].engines",
    "at least one engine each role" },
  { "fleet-min-decode.json",
    22,
    "services[0].min_decode",
    "Lower the minimum" },
  { "fleet-memory.json",
    38,
    "services[0].engines[1].kv_pieces",
    "Set at least 5" },
  { "fleet-address-twice.json", 47, "services[1].servers[0].address", "once" },
  { "fleet-address.json",
    47,
    "services[1].servers[0].address",
    "Write IP:PORT" },
  { "fleet-service-name.json", 43, "services[1].name", "ASCII letters" },
  { "fleet-service-twice.json", 43, "services[1].name", "once" },
  { "fleet-region-unknown.json",
    28,
    "services[0].engines[0].region",
    "Add it to \"regions\"" },
  { "fleet-domain-unknown.json",
    29,
    "services[0].engines[0].failure_domain",
    "failure_domains" },
  { "fleet-domain-twice.json", 4, "regions[0].failure_domains[1]", "once" },
  { "fleet-adapter-twice.json", 15, "models[0].adapters[1]", "once" },
  { "fleet-key-hash.json", 61, "callers[0].key_hash", "SHA-256" },
  { "fleet-path.json",
    53,
    "services[1].non_repeatable[0].path",
    "Write the path" },
  { "fleet-servers-empty.json",
    45,
    "services[1].servers",
    "at least one server" },
  { "fleet-list.json", 6, "links", "Write a list" },
  { "settings-unknown.json", 10, "log_levl", "docs/CONFIG.md" },
  { "settings-level.json", 10, "log_level", "Use one of" },
  { "settings-adaptive.json", 11, "routing.adaptive", "Use one of" },
  { "settings-listen.json", 5, "operators.listen", "Write IP:PORT" },
  { "settings-listen-twice.json", 5, "operators.listen", "a port of its own" },
  { "settings-platform.json", 7, "platform", "double quotes" },
  { "settings-body.json", 12, "limits.max_body", "whole number from 1024" },
  { "settings-region.json", 1, "region", "Add \"region\"" },
  { "fleet-cut-off.json", 38, "", "strict JSON" },
  { "fleet-duplicate-key.json", 3, "", "strict JSON" },
};

Error
RefusalOf(const std::string& aFile)
{
  std::string text = ReadFile("broken/" + aFile);
  try {
    if (aFile.starts_with("settings")) {
      ParseSettings(text, aFile);
    } else {
      ParseFleetText(text, aFile);
    }
  } catch (const Error& error) {
    return error;
  }
  return { ErrorKind::Internal, aFile + " was accepted", "" };
}

std::string
Replaced(std::string aText, const std::string& aOld, const std::string& aNew)
{
  std::size_t at = aText.find(aOld);
  BOOST_REQUIRE(at != std::string::npos);
  return aText.replace(at, aOld.size(), aNew);
}

} // namespace

BOOST_AUTO_TEST_CASE(BrokenTextsNameLineFieldAndRemedy)
{
  for (const BrokenSample& sample : kBrokenSamples) {
    Error error = RefusalOf(sample.m_file);
    std::string place =
      std::string(sample.m_file) + ":" + std::to_string(sample.m_line) + ": ";
    if (*sample.m_field != '\0') {
      place += "field \"" + std::string(sample.m_field) + "\": ";
    }
    BOOST_TEST_CONTEXT(sample.m_file)
    {
      BOOST_TEST((error.Kind() == ErrorKind::InvalidConfig));
      BOOST_TEST(std::string(error.what()).find(place) == 0u, error.what());
      BOOST_TEST(error.Remedy().find(sample.m_remedy) != std::string::npos,
                 error.Remedy());
    }
  }
}

BOOST_AUTO_TEST_CASE(EveryBrokenSampleIsListed)
{
  std::filesystem::path folder = std::string(TEST_DATA_DIR) + "/broken";
  std::size_t files = 0;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    files += entry.path().extension() == ".json" ? 1 : 0;
  }
  BOOST_TEST(files == std::size(kBrokenSamples));
}

BOOST_AUTO_TEST_CASE(AllProblemsAreReportedInLineOrder)
{
  std::string text = Replaced(
    ReadFile("fleet-good.json"), "\"model\": \"draft\"", "\"model\": \"x\"");
  text = Replaced(text, "\"to\": \"north\"", "\"to\": \"south\"");
  try {
    ParseFleetText(text, "f");
    BOOST_FAIL("accepted");
  } catch (const Error& error) {
    std::string what = error.what();
    BOOST_TEST(what.find("f:7: field \"links[0].to\"") == 0u);
    BOOST_TEST(what.find("\nf:22: field \"services[0].model\"") !=
               std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(EveryPrefixOfATextIsRefused)
{
  std::string text = ReadFile("fleet-good.json");
  std::size_t end = text.rfind('}');
  for (std::size_t length = 0; length <= end; ++length) {
    BOOST_CHECK_THROW(ParseFleetText(text.substr(0, length), "f"), Error);
  }
}

BOOST_AUTO_TEST_CASE(EveryPartOfAFleetTextIsRead)
{
  std::string text = ReadFile("fleet-good.json");
  FleetPtr fleet = ParseFleetText(text, "f");
  BOOST_TEST(fleet->m_revision == 7u);
  BOOST_TEST(fleet->m_text == text);
  BOOST_TEST(fleet->m_fingerprint == Fingerprint(text));
  BOOST_TEST(fleet->m_warnings.empty());
  const ServiceEntry* drafting = fleet->FindModelService("draft");
  BOOST_REQUIRE(drafting != nullptr);
  BOOST_TEST(drafting->m_name == "drafting");
  BOOST_REQUIRE(drafting->m_engines.size() == 2u);
  BOOST_TEST((drafting->m_engines[0].m_role == EngineRole::Prefill));
  BOOST_TEST(drafting->m_engines[1].m_kvPieces == 50u);
  const ServiceEntry* booking = fleet->FindService("booking");
  BOOST_REQUIRE(booking != nullptr);
  BOOST_TEST(booking->m_nonRepeatable.at(0).m_path == "/holds");
  BOOST_TEST(fleet->FindService("absent") == nullptr);
  BOOST_TEST(fleet->FindModel("draft")->m_maxPromptTokens == 8000u);
  BOOST_TEST(fleet->m_callers.at(0).m_keySalt == "00ff");
}

BOOST_AUTO_TEST_CASE(UnknownFleetFieldsAreKeptAndWarnedAbout)
{
  std::string text = Replaced(ReadFile("fleet-good.json"),
                              "\"revision\": 7",
                              "\"revision\": 7, \"x\": 1");
  FleetPtr fleet = ParseFleetText(text, "f");
  BOOST_TEST(fleet->m_text == text);
  BOOST_REQUIRE(fleet->m_warnings.size() == 1u);
  BOOST_TEST(fleet->m_warnings[0] ==
             "f:2: field \"x\": is unknown to this version");
}

BOOST_AUTO_TEST_CASE(AdaptiveChoiceIsRead)
{
  std::string text = ReadFile("broken/settings-adaptive.json");
  auto choiceOf = [&](const std::string& aMember) {
    std::string changed =
      Replaced(text, "\"adaptive\": \"sometimes\"", aMember);
    return ParseSettings(changed, "s").m_routing->m_adaptive;
  };
  BOOST_TEST((choiceOf("") == AdaptiveChoice::Told));
  BOOST_TEST((choiceOf("\"adaptive\": \"told\"") == AdaptiveChoice::Told));
  BOOST_TEST((choiceOf("\"adaptive\": \"always\"") == AdaptiveChoice::Always));
  BOOST_TEST((choiceOf("\"adaptive\": \"never\"") == AdaptiveChoice::Never));
}

BOOST_AUTO_TEST_CASE(ExamplesAreAccepted)
{
  const std::pair<const char*, const char*> examples[] = {
    { "01-noces-liaison", "mtl" },
    { "02-ridersamverkan", "svealand" },
  };
  for (auto [name, region] : examples) {
    std::string folder = std::string("../examples/") + name + "/";
    FleetPtr fleet = ParseFleetText(ReadFile(folder + "fleet.json"), name);
    BOOST_TEST(fleet->m_warnings.empty());
    BOOST_TEST(fleet->m_regions.size() == 3u);
    std::string file = folder + "vm-" + region + "-1.json";
    Settings settings = ParseSettings(ReadFile(file), file);
    BOOST_TEST(settings.m_region == region);
  }
}

BOOST_AUTO_TEST_CASE(OnlyWellFormedAddressesAreAccepted)
{
  BOOST_TEST(ParseAddress("10.0.0.1:80").m_ip == "10.0.0.1");
  BOOST_TEST(ParseAddress("10.0.0.1:80").m_port == 80u);
  BOOST_TEST(ParseAddress("[fd00::1]:65535").m_ip == "fd00::1");
  for (const char* text : { "",
                            "10.0.0.1",
                            "10.0.0.1:",
                            "10.0.0.1:65536",
                            "10.0.0.1:-1",
                            "10.0.0.1:8x",
                            "host:80",
                            "fd00::1:80",
                            "[10.0.0.1]:80",
                            ":80" }) {
    BOOST_CHECK_THROW(ParseAddress(text), Error);
  }
}

BOOST_AUTO_TEST_CASE(a_vms_limits_are_read)
{
  const std::string text =
    R"({"callers":{"listen":"127.0.0.1:1"},"peers":{"listen":"127.0.0.1:2"},)"
    R"("operators":{"listen":"127.0.0.1:3"},"platform":"127.0.0.1:4",)"
    R"("region":"r","failure_domain":"z",)"
    R"("limits":{"memory_mb":88,"max_descriptors":3075}})";
  Settings settings = ParseSettings(text, "limits");
  BOOST_TEST(settings.m_memory == 88);
  BOOST_TEST(settings.m_maxDescriptors == 3'075U);
}
