/// Compares two fleet texts and the engines' states, and lists what putting the
/// new text in force would change.

#include "shallotford/control/plan.h"

#include <algorithm>

namespace shallotford {

namespace {

/// Collects the changes between two fleet texts.
class Planner
{
public:
  Planner(const FleetText* aOld,
          const FleetText& aNew,
          const Readbacks& aReadbacks)
    : m_old(aOld)
    , m_new(aNew)
    , m_readbacks(aReadbacks)
  {
  }

  Plan Make()
  {
    CompareServices();
    CompareCallers();
    for (const ServiceEntry& service : m_new.m_services) {
      PlanEngines(service);
    }
    if (m_new.m_weightStoreBytesPerSecond > 0) {
      m_plan.m_loadTime =
        std::chrono::seconds(m_loadBytes / m_new.m_weightStoreBytesPerSecond);
    }
    return std::move(m_plan);
  }

private:
  void Add(std::string aSubject, std::string aChange)
  {
    m_plan.m_changes.push_back({ std::move(aSubject), std::move(aChange) });
  }

  const ServiceEntry* OldService(const std::string& aName) const
  {
    return m_old == nullptr ? nullptr : m_old->FindService(aName);
  }

  void CompareServices()
  {
    for (const ServiceEntry& service : m_new.m_services) {
      const ServiceEntry* old = OldService(service.m_name);
      if (old == nullptr) {
        Add("service " + service.m_name, "added");
      } else {
        CompareService(*old, service);
      }
    }
    if (m_old == nullptr) {
      return;
    }
    for (const ServiceEntry& old : m_old->m_services) {
      if (m_new.FindService(old.m_name) == nullptr) {
        Add("service " + old.m_name, "removed: its requests are refused");
      }
    }
  }

  void CompareService(const ServiceEntry& aOld, const ServiceEntry& aNew)
  {
    std::string subject = "service " + aNew.m_name;
    auto number = [&](const char* aWhat, auto aBefore, auto aAfter) {
      if (aBefore != aAfter) {
        Add(subject,
            std::string(aWhat) + " " + std::to_string(aBefore) + " -> " +
              std::to_string(aAfter));
      }
    };
    number("deadline_ms", aOld.m_deadline.count(), aNew.m_deadline.count());
    number("retry_budget", aOld.m_retryBudget, aNew.m_retryBudget);
    number("first_token_ms",
           aOld.m_targets.m_firstToken.count(),
           aNew.m_targets.m_firstToken.count());
    number("per_token_ms",
           aOld.m_targets.m_perToken.count(),
           aNew.m_targets.m_perToken.count());
    number(
      "weights.goodput", aOld.m_weights.m_goodput, aNew.m_weights.m_goodput);
    number("weights.wasted_prefill",
           aOld.m_weights.m_wastedPrefill,
           aNew.m_weights.m_wastedPrefill);
    number("weights.cross_region_bytes",
           aOld.m_weights.m_crossRegionBytes,
           aNew.m_weights.m_crossRegionBytes);
    number("min_prefill", aOld.m_minPrefill, aNew.m_minPrefill);
    number("min_decode", aOld.m_minDecode, aNew.m_minDecode);
    if (aOld.m_model != aNew.m_model) {
      Add(subject, "model " + aOld.m_model + " -> " + aNew.m_model);
    }
    if (aOld.m_dependsOn != aNew.m_dependsOn) {
      Add(subject, "dependencies changed");
    }
    if (aOld.m_claim != aNew.m_claim) {
      Add(subject, "claim " + std::string(ToString(aNew.m_claim)));
    }
    CompareUpstreams(subject, Addresses(aOld), Addresses(aNew));
  }

  static std::set<std::string> Addresses(const ServiceEntry& aService)
  {
    std::set<std::string> addresses;
    for (const EngineEntry& engine : aService.m_engines) {
      addresses.insert(engine.m_address);
    }
    for (const PlainServer& server : aService.m_servers) {
      addresses.insert(server.m_address);
    }
    return addresses;
  }

  void CompareUpstreams(const std::string& aSubject,
                        const std::set<std::string>& aOld,
                        const std::set<std::string>& aNew)
  {
    for (const std::string& address : aNew) {
      if (!aOld.contains(address)) {
        Add(aSubject, "upstream " + address + " added");
      }
    }
    for (const std::string& address : aOld) {
      if (!aNew.contains(address)) {
        Add(aSubject, "upstream " + address + " removed: no new work");
      }
    }
  }

  void CompareCallers()
  {
    auto find = [](const FleetText* aFleet, const std::string& aName) {
      const CallerEntry* found = nullptr;
      if (aFleet != nullptr) {
        for (const CallerEntry& caller : aFleet->m_callers) {
          found = caller.m_name == aName ? &caller : found;
        }
      }
      return found;
    };
    for (const CallerEntry& caller : m_new.m_callers) {
      const CallerEntry* old = find(m_old, caller.m_name);
      std::string subject = "caller " + caller.m_name;
      if (old == nullptr) {
        Add(subject, "added");
        continue;
      }
      if (old->m_keyHash != caller.m_keyHash ||
          old->m_keySalt != caller.m_keySalt) {
        Add(subject, "key replaced: the old one is refused");
      }
      if (old->m_tokensPerSecond != caller.m_tokensPerSecond ||
          old->m_burstTokens != caller.m_burstTokens ||
          old->m_share != caller.m_share ||
          old->m_priority != caller.m_priority) {
        Add(subject, "limit, share or priority changed");
      }
    }
    if (m_old == nullptr) {
      return;
    }
    for (const CallerEntry& caller : m_old->m_callers) {
      if (find(&m_new, caller.m_name) == nullptr) {
        Add("caller " + caller.m_name, "removed: its key is refused");
      }
    }
  }

  /// Returns the engine's state as it reported it, else as the old text asks
  /// for it, or nothing if neither is known.
  std::optional<EngineReadback> StateOf(const std::string& aAddress) const
  {
    auto found = m_readbacks.find(aAddress);
    if (found != m_readbacks.end()) {
      return found->second;
    }
    if (m_old == nullptr) {
      return std::nullopt;
    }
    for (const ServiceEntry& service : m_old->m_services) {
      const ModelEntry* model = m_old->FindModel(service.m_model);
      for (const EngineEntry& entry : service.m_engines) {
        if (entry.m_address == aAddress && model != nullptr) {
          return EngineReadback{ .m_role = entry.m_role,
                                 .m_model = model->m_name,
                                 .m_version = model->m_version,
                                 .m_adapters = { model->m_adapters.begin(),
                                                 model->m_adapters.end() } };
        }
      }
    }
    return std::nullopt;
  }

  void PlanEngines(const ServiceEntry& aService)
  {
    const ModelEntry* model = m_new.FindModel(aService.m_model);
    if (aService.m_kind != ServiceKind::Model || model == nullptr) {
      return;
    }
    for (const EngineEntry& entry : aService.m_engines) {
      PlanEngine(entry, *model);
    }
  }

  void PlanEngine(const EngineEntry& aEntry, const ModelEntry& aModel)
  {
    std::string subject = "engine " + aEntry.m_address;
    EngineReadback state = StateOf(aEntry.m_address).value_or(EngineReadback{});
    if (state.m_model != aModel.m_name || state.m_version != aModel.m_version) {
      Add(subject, "drain, load " + aModel.m_name + " " + aModel.m_version);
      ++m_plan.m_modelLoads;
      m_loadBytes += aModel.m_weightBytes;
      state.m_adapters.clear();
    }
    bool known = !state.m_model.empty();
    if (known && state.m_role != aEntry.m_role) {
      Add(subject,
          "role " + std::string(ToString(state.m_role)) + " -> " +
            std::string(ToString(aEntry.m_role)) + ", as the load allows");
    }
    std::set<std::string> wanted(aModel.m_adapters.begin(),
                                 aModel.m_adapters.end());
    for (const std::string& adapter : wanted) {
      if (!state.m_adapters.contains(adapter)) {
        Add(subject, "load adapter " + adapter);
      }
    }
    for (const std::string& adapter : state.m_adapters) {
      if (!wanted.contains(adapter)) {
        Add(subject, "unload adapter " + adapter);
      }
    }
  }

  const FleetText* m_old;
  const FleetText& m_new;
  const Readbacks& m_readbacks;
  Plan m_plan;
  std::uint64_t m_loadBytes{ 0 };
};

void
CheckRevision(const FleetText& aOld, const FleetText& aNew)
{
  if (aNew.m_revision < aOld.m_revision) {
    throw Error(ErrorKind::StaleRevision,
                "revision " + std::to_string(aNew.m_revision) +
                  " is older than revision " + std::to_string(aOld.m_revision) +
                  " in force",
                "Set \"revision\" to " + std::to_string(aOld.m_revision + 1) +
                  " or more.");
  }
  if (aNew.m_revision == aOld.m_revision &&
      aNew.m_fingerprint != aOld.m_fingerprint) {
    throw Error(ErrorKind::RevisionConflict,
                "revision " + std::to_string(aNew.m_revision) +
                  " is in force with other content",
                "Set \"revision\" to " + std::to_string(aOld.m_revision + 1) +
                  " or more.");
  }
}

} // namespace

Plan
PlanChanges(const FleetText* aOld,
            const FleetText& aNew,
            const Readbacks& aReadbacks)
{
  if (aOld != nullptr) {
    CheckRevision(*aOld, aNew);
  }
  return Planner(aOld, aNew, aReadbacks).Make();
}

} // namespace shallotford
