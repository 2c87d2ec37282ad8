#ifndef SHALLOTFORD_SRC_CTL_PLAN_H
#define SHALLOTFORD_SRC_CTL_PLAN_H

/// Shows what a fleet text would change against the one in force.

#include "ctl_call.h"
#include "shallotford/control/plan.h"
#include "shallotford/ctl.h"

namespace shallotford {

/// What the asked VMs know of the running fleet.
struct RunningFleet
{
  FleetPtr m_text;                 ///< of the highest revision; nullptr if none
  Readbacks m_readbacks;           ///< engines that a VM has read
  std::vector<VmAnswer> m_failed;  ///< no answer, or no readable text
  bool m_revisionsDiffer{ false }; ///< VMs have different revisions in force
};

/// Asks every VM for its text and its engines.
RunningFleet
ReadRunningFleet(OperatorsI& aOperators);

/// Adds to aReadbacks the engines of one answer to "upstreams" whose model the
/// VM has read.
/// @param aText  text in force: adapters are not part of the answer, and are
///               taken to be as it wants them
void
AddReadbacks(const Json::Value& aUpstreams,
             const FleetText* aText,
             Readbacks& aReadbacks);

/// Returns the names of the services with dependencies before their
/// dependents, the order in which orders are given.
std::vector<std::string>
ServicesInOrder(const FleetText& aFleet);

/// A plan and the order in which its steps are taken.
struct OrderedPlan
{
  std::uint64_t m_from{ 0 }; ///< revision in force; 0: none
  std::uint64_t m_to{ 0 };
  std::vector<PlannedChange> m_changes; ///< in force within seconds
  std::vector<PlannedChange> m_steps;   ///< orders to engines, first ones first
  std::uint32_t m_ordersAtOnce{ 0 };    ///< engines of one service
  std::uint32_t m_modelLoads{ 0 };
  std::chrono::seconds m_loadTime{ 0 };
};

/// @throws Error (StaleRevision, RevisionConflict) if aNew would be refused
OrderedPlan
MakeOrderedPlan(const RunningFleet& aRunning, const FleetText& aNew);

Json::Value
ToJson(const OrderedPlan& aPlan);
void
PrintPlan(const OrderedPlan& aPlan, std::ostream& aOut, bool aColour);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_CTL_PLAN_H
