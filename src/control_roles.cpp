/// How many engines prefill and how many decode, and which.

#include "shallotford/control/reconcile.h"

#include "config.h"

#include <algorithm>

namespace shallotford {

namespace {

double
Use(double aLoad, std::uint32_t aEngines)
{
  return aEngines == 0 ? 1.0 : aLoad / aEngines;
}

/// Whether a role of aEngines engines could do its work with one less.
bool
CanSpare(double aLoad,
         std::uint32_t aEngines,
         std::uint32_t aLeast,
         double aUse)
{
  return aEngines > aLeast && aEngines > 1 && Use(aLoad, aEngines - 1) < aUse;
}

/// Moves one engine: aTowards 1 to prefill, -1 to decode.
RoleCounts
Moved(RoleCounts aCounts, int aTowards)
{
  if (aTowards > 0 && aCounts.m_decode > 0) {
    ++aCounts.m_prefill;
    --aCounts.m_decode;
  } else if (aTowards < 0 && aCounts.m_prefill > 0) {
    --aCounts.m_prefill;
    ++aCounts.m_decode;
  }
  return aCounts;
}

/// Returns 1 if prefill should get an engine, -1 if decode should, or 0.
int
PressureOf(const RoleCounts& aNow,
           const RoleCounts& aText,
           const ServiceEntry& aService,
           const ServiceLoad& aLoad)
{
  double prefillUse = Use(aLoad.m_prefill, aNow.m_prefill);
  double decodeUse = Use(aLoad.m_decode, aNow.m_decode);
  auto spares = [&](int aTowards, double aUse) {
    return aTowards > 0
             ? CanSpare(
                 aLoad.m_decode, aNow.m_decode, aService.m_minDecode, aUse)
             : CanSpare(
                 aLoad.m_prefill, aNow.m_prefill, aService.m_minPrefill, aUse);
  };
  if (prefillUse > kHighUtilisation && spares(1, kSpareUtilisation)) {
    return 1;
  }
  if (decodeUse > kHighUtilisation && spares(-1, kSpareUtilisation)) {
    return -1;
  }
  int home = 0;
  if (aNow.m_prefill != aText.m_prefill) {
    home = aNow.m_prefill < aText.m_prefill ? 1 : -1;
  }
  bool calm = prefillUse < kLowUtilisation && decodeUse < kLowUtilisation;
  return home != 0 && calm && spares(home, kLowUtilisation) ? home : 0;
}

/// Brings wanted counts to the number of engines that there are. With fewer
/// than the minima ask for, every engine keeps its role.
RoleCounts
Fit(RoleCounts aWanted, const RoleCounts& aActual, const ServiceEntry& aService)
{
  std::uint32_t total = aActual.Total();
  if (total < aService.m_minPrefill + aService.m_minDecode) {
    return aActual;
  }
  aWanted.m_prefill = std::clamp(
    aWanted.m_prefill, aService.m_minPrefill, total - aService.m_minDecode);
  aWanted.m_decode = total - aWanted.m_prefill;
  return aWanted;
}

} // namespace

RoleCounts
RoleSplit::Decide(TimePoint aNow,
                  std::uint64_t aRevision,
                  const ServiceEntry& aService,
                  const RoleCounts& aText,
                  const RoleCounts& aActual,
                  const ServiceLoad& aLoad)
{
  bool newText = m_revision && *m_revision != aRevision;
  m_revision = aRevision;
  if (!m_target) {
    m_target = aActual; // a new owner takes over what it finds
    m_actual = aActual;
    m_changedAt = aNow - kSplitCooldown;
  } else if (newText && aText != m_text) {
    m_target = aText;
    m_changedAt = aNow;
  }
  m_text = aText;
  if (aActual.Total() != m_actual.Total()) {
    // Engines went or came back: no other engine changes its role for that.
    std::int64_t prefill = std::int64_t{ m_target->m_prefill } +
                           aActual.m_prefill - m_actual.m_prefill;
    m_target->m_prefill =
      static_cast<std::uint32_t>(std::max<std::int64_t>(prefill, 0));
  }
  m_actual = aActual;
  m_target = Fit(*m_target, aActual, aService);
  int pressure = PressureOf(*m_target, aText, aService, aLoad);
  if (pressure != m_pressure) {
    m_pressure = pressure;
    m_pressureSince = aNow;
  }
  bool lasting = aNow - m_pressureSince >= kMinPressureTime;
  bool rested = aNow - m_changedAt >= kSplitCooldown;
  if (pressure != 0 && lasting && rested) {
    m_target = Moved(*m_target, pressure);
    m_changedAt = aNow;
    m_pressureSince = aNow;
  }
  return *m_target;
}

std::map<std::string, EngineGoal>
EngineGoals(const FleetText& aFleet,
            const ServiceEntry& aService,
            const Readbacks& aReadbacks,
            const RoleCounts& aCounts)
{
  std::map<std::string, EngineGoal> goals;
  const ModelEntry* model = aFleet.FindModel(aService.m_model);
  if (model == nullptr) {
    return goals;
  }
  struct Choice
  {
    int m_present;  ///< prefill engines first
    int m_changing; ///< a change that was begun is ended
    int m_text;     ///< the ones that the text wants to prefill first
    std::uint32_t m_running;
    const EngineEntry* m_entry;
  };
  std::vector<Choice> choices;
  for (const EngineEntry& entry : aService.m_engines) {
    auto found = aReadbacks.find(entry.m_address);
    if (found == aReadbacks.end() || found->second.m_leaving) {
      continue;
    }
    const EngineReadback& engine = found->second;
    bool prefills = engine.m_role == EngineRole::Prefill;
    bool shouldPrefill = entry.m_role == EngineRole::Prefill;
    bool draining = engine.m_draining;
    // Of those that stay, the busiest stay; of those that change, the idlest.
    choices.push_back(
      { .m_present = prefills ? 0 : 1,
        .m_changing = draining == prefills ? 1 : 0,
        .m_text = shouldPrefill ? 0 : 1,
        .m_running = prefills ? ~engine.m_running : engine.m_running,
        .m_entry = &entry });
  }
  std::sort(choices.begin(),
            choices.end(),
            [](const Choice& aLeft, const Choice& aRight) {
              return std::tie(aLeft.m_present,
                              aLeft.m_changing,
                              aLeft.m_text,
                              aLeft.m_running,
                              aLeft.m_entry->m_address) <
                     std::tie(aRight.m_present,
                              aRight.m_changing,
                              aRight.m_text,
                              aRight.m_running,
                              aRight.m_entry->m_address);
            });
  std::uint32_t prefills = 0;
  for (const Choice& choice : choices) {
    EngineRole role =
      prefills < aCounts.m_prefill ? EngineRole::Prefill : EngineRole::Decode;
    ++prefills;
    goals[choice.m_entry->m_address] = {
      .m_model = model->m_name,
      .m_version = model->m_version,
      .m_adapters = { model->m_adapters.begin(), model->m_adapters.end() },
      .m_role = role,
    };
  }
  return goals;
}

} // namespace shallotford
