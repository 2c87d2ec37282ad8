/// Decides how many engines of a service prefill and how many decode, and which
/// engines those are.

#include "shallotford/control/reconcile.h"

#include "config.h"

#include <algorithm>

namespace shallotford {

namespace {

double
Utilisation(double aLoad, std::uint32_t aEngines)
{
  return aEngines == 0 ? 1.0 : aLoad / aEngines;
}

/// Whether a role with aEngines engines can give one away: at least aMin
/// engines, and never none, remain, with a utilisation below aLimit.
bool
CanSpare(double aLoad,
         std::uint32_t aEngines,
         std::uint32_t aMin,
         double aLimit)
{
  return aEngines > aMin && aEngines > 1 &&
         Utilisation(aLoad, aEngines - 1) < aLimit;
}

/// Moves one engine to prefill (aTowards 1) or to decode (aTowards -1).
RoleCounts
MoveOneEngine(RoleCounts aCounts, int aTowards)
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
PressureOf(const RoleCounts& aCounts,
           const RoleCounts& aConfigured,
           const ServiceEntry& aService,
           const ServiceLoad& aLoad)
{
  double prefillUtilisation = Utilisation(aLoad.m_prefill, aCounts.m_prefill);
  double decodeUtilisation = Utilisation(aLoad.m_decode, aCounts.m_decode);
  auto canMove = [&](int aTowards, double aLimit) {
    return aTowards > 0
             ? CanSpare(
                 aLoad.m_decode, aCounts.m_decode, aService.m_minDecode, aLimit)
             : CanSpare(aLoad.m_prefill,
                        aCounts.m_prefill,
                        aService.m_minPrefill,
                        aLimit);
  };
  if (prefillUtilisation > kHighUtilisation && canMove(1, kSpareUtilisation)) {
    return 1;
  }
  if (decodeUtilisation > kHighUtilisation && canMove(-1, kSpareUtilisation)) {
    return -1;
  }
  int towardsConfigured = 0;
  if (aCounts.m_prefill != aConfigured.m_prefill) {
    towardsConfigured = aCounts.m_prefill < aConfigured.m_prefill ? 1 : -1;
  }
  bool lightLoad =
    prefillUtilisation < kLowUtilisation && decodeUtilisation < kLowUtilisation;
  return towardsConfigured != 0 && lightLoad &&
             canMove(towardsConfigured, kLowUtilisation)
           ? towardsConfigured
           : 0;
}

/// Adjusts aWanted to the number of answering engines and the service's minima.
/// With fewer engines than both minima together, every engine keeps its role.
RoleCounts
FitToTotal(RoleCounts aWanted,
           const RoleCounts& aActual,
           const ServiceEntry& aService)
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
                  const RoleCounts& aConfigured,
                  const RoleCounts& aActual,
                  const ServiceLoad& aLoad)
{
  bool newRevision = m_revision && *m_revision != aRevision;
  m_revision = aRevision;
  if (!m_target) {
    m_target = aActual; // a new owner starts from the present split
    m_actual = aActual;
    m_changedAt = aNow - kSplitCooldown;
  } else if (newRevision && aConfigured != m_configured) {
    m_target = aConfigured;
    m_changedAt = aNow;
  }
  m_configured = aConfigured;
  if (aActual.Total() != m_actual.Total()) {
    // Engines that stop or start answering change the target of their own role,
    // so that no other engine changes its role because of them.
    std::int64_t prefill = std::int64_t{ m_target->m_prefill } +
                           aActual.m_prefill - m_actual.m_prefill;
    m_target->m_prefill =
      static_cast<std::uint32_t>(std::max<std::int64_t>(prefill, 0));
  }
  m_actual = aActual;
  m_target = FitToTotal(*m_target, aActual, aService);
  int pressure = PressureOf(*m_target, aConfigured, aService, aLoad);
  if (pressure != m_pressure) {
    m_pressure = pressure;
    m_pressureSince = aNow;
  }
  bool pressureLasts = aNow - m_pressureSince >= kMinPressureTime;
  bool cooledDown = aNow - m_changedAt >= kSplitCooldown;
  if (pressure != 0 && pressureLasts && cooledDown) {
    m_target = MoveOneEngine(*m_target, pressure);
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
  struct RoleCandidate
  {
    int m_present;    ///< present prefill engines first
    int m_changing;   ///< so that a role change that has begun is completed
    int m_configured; ///< configured prefill engines first
    std::uint32_t m_running;
    const EngineEntry* m_entry;
  };
  std::vector<RoleCandidate> candidates;
  for (const EngineEntry& entry : aService.m_engines) {
    auto found = aReadbacks.find(entry.m_address);
    if (found == aReadbacks.end() || found->second.m_leaving) {
      continue;
    }
    const EngineReadback& engine = found->second;
    bool prefills = engine.m_role == EngineRole::Prefill;
    bool shouldPrefill = entry.m_role == EngineRole::Prefill;
    bool draining = engine.m_draining;
    // Among prefill engines the busiest keep their role, and among decode
    // engines the idlest change theirs.
    candidates.push_back(
      { .m_present = prefills ? 0 : 1,
        .m_changing = draining == prefills ? 1 : 0,
        .m_configured = shouldPrefill ? 0 : 1,
        .m_running = prefills ? ~engine.m_running : engine.m_running,
        .m_entry = &entry });
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const RoleCandidate& aLeft, const RoleCandidate& aRight) {
              return std::tie(aLeft.m_present,
                              aLeft.m_changing,
                              aLeft.m_configured,
                              aLeft.m_running,
                              aLeft.m_entry->m_address) <
                     std::tie(aRight.m_present,
                              aRight.m_changing,
                              aRight.m_configured,
                              aRight.m_running,
                              aRight.m_entry->m_address);
            });
  std::uint32_t prefills = 0;
  for (const RoleCandidate& candidate : candidates) {
    EngineRole role =
      prefills < aCounts.m_prefill ? EngineRole::Prefill : EngineRole::Decode;
    ++prefills;
    goals[candidate.m_entry->m_address] = {
      .m_model = model->m_name,
      .m_version = model->m_version,
      .m_adapters = { model->m_adapters.begin(), model->m_adapters.end() },
      .m_role = role,
    };
  }
  return goals;
}

} // namespace shallotford
