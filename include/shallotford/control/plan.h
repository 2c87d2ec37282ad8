#ifndef SHALLOTFORD_CONTROL_PLAN_H
#define SHALLOTFORD_CONTROL_PLAN_H

/// What a new fleet text would change, for "shallotfordctl plan".

#include "shallotford/control/reconcile.h"

namespace shallotford {

/// One expected change.
struct PlannedChange
{
  std::string m_subject; ///< "service drafting", "engine 10.0.0.1:80", ...
  std::string m_change;
};

struct Plan
{
  std::vector<PlannedChange> m_changes;
  std::uint32_t m_modelLoads{ 0 };
  /// Least time for the loads at the weight store's rate.
  std::chrono::seconds m_loadTime{ 0 };
};

/// @param aOld        text in force, or nullptr
/// @param aReadbacks  engines' states as far as known; others are taken to be
///                    as aOld wants them
/// @throws Error (StaleRevision, RevisionConflict) if aNew would be refused
Plan
PlanChanges(const FleetText* aOld,
            const FleetText& aNew,
            const Readbacks& aReadbacks);

} // namespace shallotford

#endif // SHALLOTFORD_CONTROL_PLAN_H
