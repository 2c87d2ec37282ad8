/// Checks of a parsed fleet text that involve several of its fields: unique
/// names, references, dependency cycles and sizes of engine pools.

#include "fleet_check.h"

#include "config.h"
#include "fleet_reader.h"

#include <algorithm>
#include <map>
#include <set>

namespace shallotford {

namespace {

/// Returns the path of an item of a list, such as "services[0]".
std::string
ItemPath(const std::string& aList, std::size_t aIndex)
{
  return aList + "[" + std::to_string(aIndex) + "]";
}

std::string
Quote(const std::string& aText)
{
  return "\"" + aText + "\"";
}

bool
IsHex(const std::string& aText)
{
  return aText.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

/// Returns whether aName can be used in URL paths and in resume tokens without
/// escaping.
bool
NeedsNoEscaping(const std::string& aName)
{
  return aName.find_first_not_of("abcdefghijklmnopqrstuvwxyz"
                                 "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                 "0123456789._-") == std::string::npos;
}

/// Reports each name that occurs more than once, with the path of its first
/// use.
class UniqueNames
{
public:
  UniqueNames(CheckedDocument& aDocument, std::string aWhat)
    : m_document(aDocument)
    , m_what(std::move(aWhat))
  {
  }
  void Add(const std::string& aName, const std::string& aPath)
  {
    auto [first, isNew] = m_first.emplace(aName, aPath);
    if (!isNew) {
      m_document.AddProblem(aPath,
                            m_what + " " + Quote(aName) +
                              " is already used at " + Quote(first->second),
                            "Give each " + m_what + " once.");
    }
  }
  bool Has(const std::string& aName) const { return m_first.contains(aName); }

private:
  CheckedDocument& m_document;
  std::string m_what;
  std::map<std::string, std::string> m_first;
};

class FleetChecker
{
public:
  FleetChecker(const FleetText& aFleet, CheckedDocument& aDocument)
    : m_fleet(aFleet)
    , m_document(aDocument)
    , m_addresses(aDocument, "upstream address")
  {
  }

  void Check()
  {
    CheckRegions();
    CheckLinks();
    CheckModels();
    CheckCallers();
    CheckServices();
    CheckDependencies();
  }

private:
  void CheckRegions()
  {
    UniqueNames regions(m_document, "region");
    UniqueNames domains(m_document, "failure domain");
    for (std::size_t i = 0; i < m_fleet.m_regions.size(); ++i) {
      const RegionEntry& region = m_fleet.m_regions[i];
      std::string path = ItemPath("regions", i);
      regions.Add(region.m_name, path + ".name");
      for (std::size_t j = 0; j < region.m_failureDomains.size(); ++j) {
        domains.Add(region.m_failureDomains[j],
                    ItemPath(path + ".failure_domains", j));
      }
      if (region.m_failureDomains.empty()) {
        m_document.AddProblem(path + ".failure_domains",
                              "region " + Quote(region.m_name) +
                                " has no failure domain",
                              "List at least one failure domain.");
      }
    }
  }

  const RegionEntry* FindRegion(const std::string& aName) const
  {
    for (const RegionEntry& region : m_fleet.m_regions) {
      if (region.m_name == aName) {
        return &region;
      }
    }
    return nullptr;
  }

  const RegionEntry* CheckRegion(const std::string& aName,
                                 const std::string& aPath)
  {
    const RegionEntry* region = FindRegion(aName);
    if (region == nullptr) {
      m_document.AddProblem(aPath,
                            "no region " + Quote(aName) + " is listed",
                            "Add it to \"regions\", or name a listed one.");
    }
    return region;
  }

  void CheckLocation(const std::string& aRegion,
                     const std::string& aDomain,
                     const std::string& aPath)
  {
    const RegionEntry* region = CheckRegion(aRegion, aPath + ".region");
    if (region == nullptr) {
      return;
    }
    const auto& domains = region->m_failureDomains;
    if (std::find(domains.begin(), domains.end(), aDomain) == domains.end()) {
      m_document.AddProblem(aPath + ".failure_domain",
                            "region " + Quote(aRegion) +
                              " lists no failure domain " + Quote(aDomain),
                            "Add it to that region's \"failure_domains\", or "
                            "name a listed one.");
    }
  }

  void CheckLinks()
  {
    UniqueNames links(m_document, "link");
    for (std::size_t i = 0; i < m_fleet.m_links.size(); ++i) {
      const LinkEntry& link = m_fleet.m_links[i];
      std::string path = ItemPath("links", i);
      CheckRegion(link.m_from, path + ".from");
      CheckRegion(link.m_to, path + ".to");
      links.Add(link.m_from + " to " + link.m_to, path);
    }
  }

  void CheckModels()
  {
    UniqueNames models(m_document, "model");
    for (std::size_t i = 0; i < m_fleet.m_models.size(); ++i) {
      const ModelEntry& model = m_fleet.m_models[i];
      std::string path = ItemPath("models", i);
      models.Add(model.m_name, path + ".name");
      UniqueNames adapters(m_document, "adapter");
      for (std::size_t j = 0; j < model.m_adapters.size(); ++j) {
        adapters.Add(model.m_adapters[j], ItemPath(path + ".adapters", j));
      }
    }
  }

  void CheckCallers()
  {
    UniqueNames names(m_document, "caller");
    for (std::size_t i = 0; i < m_fleet.m_callers.size(); ++i) {
      const CallerEntry& caller = m_fleet.m_callers[i];
      std::string path = ItemPath("callers", i);
      names.Add(caller.m_name, path + ".name");
      if (!IsHex(caller.m_keySalt) || caller.m_keySalt.size() % 2 != 0) {
        m_document.AddProblem(path + ".key_salt",
                              "is not hexadecimal",
                              "Write the salt's bytes as pairs of "
                              "hexadecimal digits.");
      }
      if (!IsHex(caller.m_keyHash) ||
          caller.m_keyHash.size() != kKeyHashHexDigits) {
        m_document.AddProblem(path + ".key_hash",
                              "is not a SHA-256 hash",
                              "Write the SHA-256 of salt and key as 64 "
                              "hexadecimal digits.");
      }
      if (caller.m_tokensPerSecond > 0 && caller.m_burstTokens <= 0) {
        m_document.AddProblem(path + ".burst_tokens",
                              "must be above 0 for a limited caller",
                              "Set at least the cost of one request.");
      }
    }
  }

  void CheckServices()
  {
    UniqueNames names(m_document, "service");
    UniqueNames served(m_document, "served model");
    for (std::size_t i = 0; i < m_fleet.m_services.size(); ++i) {
      const ServiceEntry& service = m_fleet.m_services[i];
      std::string path = ItemPath("services", i);
      names.Add(service.m_name, path + ".name");
      if (!NeedsNoEscaping(service.m_name)) {
        m_document.AddProblem(path + ".name",
                              "service " + Quote(service.m_name) +
                                " has characters that are not allowed in paths",
                              "Use ASCII letters, digits, '.', '_' and '-'.");
      }
      if (service.m_kind == ServiceKind::Model) {
        served.Add(service.m_model, path + ".model");
        CheckModelService(service, path);
      } else {
        CheckPlainService(service, path);
      }
    }
  }

  void CheckModelService(const ServiceEntry& aService, const std::string& aPath)
  {
    const ModelEntry* model = m_fleet.FindModel(aService.m_model);
    if (model == nullptr) {
      m_document.AddProblem(aPath + ".model",
                            "no model " + Quote(aService.m_model) +
                              " is listed",
                            "Add it to \"models\", or name a listed one.");
    }
    std::uint32_t prefill = 0;
    for (std::size_t i = 0; i < aService.m_engines.size(); ++i) {
      const EngineEntry& engine = aService.m_engines[i];
      std::string path = ItemPath(aPath + ".engines", i);
      m_addresses.Add(engine.m_address, path + ".address");
      CheckLocation(engine.m_region, engine.m_failureDomain, path);
      if (model != nullptr) {
        CheckMemory(engine, *model, path);
      }
      prefill += engine.m_role == EngineRole::Prefill ? 1 : 0;
    }
    auto total = static_cast<std::uint32_t>(aService.m_engines.size());
    CheckPool(EngineRole::Prefill, prefill, aService.m_minPrefill, aPath);
    CheckPool(EngineRole::Decode, total - prefill, aService.m_minDecode, aPath);
  }

  void CheckPool(EngineRole aRole,
                 std::uint32_t aEngines,
                 std::uint32_t aMinimum,
                 const std::string& aPath)
  {
    std::string role(ToString(aRole));
    if (aEngines == 0) {
      m_document.AddProblem(aPath + ".engines",
                            "no engine has the role " + Quote(role),
                            "Give at least one engine each role.");
    } else if (aMinimum > aEngines) {
      m_document.AddProblem(aPath + ".min_" + role,
                            std::to_string(aMinimum) + " is more than the " +
                              std::to_string(aEngines) + " " + role +
                              " engines listed",
                            "Lower the minimum, or add " + role + " engines.");
    }
  }

  /// Checks that the engine's KV memory holds one request of the model's
  /// maximum length. Only decode engines also hold the output.
  void CheckMemory(const EngineEntry& aEngine,
                   const ModelEntry& aModel,
                   const std::string& aPath)
  {
    std::uint64_t needed = aModel.m_maxPromptTokens;
    if (aEngine.m_role == EngineRole::Decode) {
      needed += aModel.m_maxOutputTokens;
    }
    std::uint64_t pieces = (needed + kKvPieceTokens - 1) / kKvPieceTokens;
    if (aEngine.m_kvPieces < pieces) {
      m_document.AddProblem(aPath + ".kv_pieces",
                            std::to_string(aEngine.m_kvPieces) +
                              " pieces can't hold the longest request, " +
                              std::to_string(needed) + " tokens",
                            "Set at least " + std::to_string(pieces) +
                              ", or lower the model's limits.");
    }
  }

  void CheckPlainService(const ServiceEntry& aService, const std::string& aPath)
  {
    for (std::size_t i = 0; i < aService.m_servers.size(); ++i) {
      const PlainServer& server = aService.m_servers[i];
      std::string path = ItemPath(aPath + ".servers", i);
      m_addresses.Add(server.m_address, path + ".address");
      CheckLocation(server.m_region, server.m_failureDomain, path);
    }
    if (aService.m_servers.empty()) {
      m_document.AddProblem(aPath + ".servers",
                            "service " + Quote(aService.m_name) +
                              " has no server",
                            "List at least one server.");
    }
    for (std::size_t i = 0; i < aService.m_nonRepeatable.size(); ++i) {
      if (!aService.m_nonRepeatable[i].m_path.starts_with('/')) {
        m_document.AddProblem(ItemPath(aPath + ".non_repeatable", i) + ".path",
                              "does not begin with \"/\"",
                              "Write the path below /services/NAME, such as "
                              "\"/holds\".");
      }
    }
  }

  void CheckDependencies()
  {
    for (std::size_t i = 0; i < m_fleet.m_services.size(); ++i) {
      const ServiceEntry& service = m_fleet.m_services[i];
      std::string list = ItemPath("services", i) + ".depends_on";
      for (std::size_t j = 0; j < service.m_dependsOn.size(); ++j) {
        CheckDependency(service, service.m_dependsOn[j], ItemPath(list, j));
      }
    }
  }

  void CheckDependency(const ServiceEntry& aService,
                       const std::string& aDependency,
                       const std::string& aPath)
  {
    if (m_fleet.FindService(aDependency) == nullptr) {
      m_document.AddProblem(aPath,
                            "no service " + Quote(aDependency) + " is listed",
                            "Add it to \"services\", or name a listed one.");
      return;
    }
    std::set<std::string> seen;
    if (Reaches(aDependency, aService.m_name, seen)) {
      m_document.AddProblem(aPath,
                            Quote(aService.m_name) +
                              " depends on itself through " +
                              Quote(aDependency),
                            "Remove one dependency of the cycle.");
    }
  }

  /// Returns whether aFrom is aTo or depends on it, directly or through others.
  /// @param aSeen  services already visited, so that cycles end the search
  bool Reaches(const std::string& aFrom,
               const std::string& aTo,
               std::set<std::string>& aSeen) const
  {
    if (aFrom == aTo) {
      return true;
    }
    if (!aSeen.insert(aFrom).second) {
      return false;
    }
    const ServiceEntry* service = m_fleet.FindService(aFrom);
    return service != nullptr &&
           std::any_of(service->m_dependsOn.begin(),
                       service->m_dependsOn.end(),
                       [&](const std::string& aNext) {
                         return Reaches(aNext, aTo, aSeen);
                       });
  }

  const FleetText& m_fleet;
  CheckedDocument& m_document;
  UniqueNames m_addresses;
};

} // namespace

void
CheckFleet(const FleetText& aFleet, CheckedDocument& aDocument)
{
  FleetChecker(aFleet, aDocument).Check();
}

} // namespace shallotford
