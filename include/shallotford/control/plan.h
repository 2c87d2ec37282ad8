#ifndef SHALLOTFORD_CONTROL_PLAN_H
#define SHALLOTFORD_CONTROL_PLAN_H

/// Previews what a new fleet text (the configuration of the fleet) would
/// change: services, callers and engines. Serves "shallotfordctl plan".

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
  /// Shortest time that all model loads take at the weight store's rate.
  std::chrono::seconds m_loadTime{ 0 };
};

/// Returns the changes that putting aNew in force would bring.
/// @param aOld        text in force, or nullptr
/// @param aReadbacks  known states of engines; other engines are assumed to be
///                    in the state that aOld asks for
/// @throws Error (StaleRevision, RevisionConflict) if aNew would be refused
Plan
PlanChanges(const FleetText* aOld,
            const FleetText& aNew,
            const Readbacks& aReadbacks);

} // namespace shallotford

#endif // SHALLOTFORD_CONTROL_PLAN_H
