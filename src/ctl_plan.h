#ifndef SHALLOTFORD_SRC_CTL_PLAN_H
#define SHALLOTFORD_SRC_CTL_PLAN_H

/// The plan command of shallotfordctl: shows what a new fleet text would change
/// compared with the one in force.

#include "ctl_call.h"
#include "shallotford/control/plan.h"
#include "shallotford/ctl.h"

namespace shallotford {

/// The state of the running fleet as the queried VMs report it.
struct RunningFleet
{
  FleetPtr m_text;                 ///< of the highest revision; nullptr if none
  Readbacks m_readbacks;           ///< engines whose state a VM has read
  std::vector<VmAnswer> m_failed;  ///< without an answer or a valid text
  bool m_revisionsDiffer{ false }; ///< VMs have different revisions in force
};

/// Queries every VM for its fleet text and its engines.
RunningFleet
ReadRunningFleet(OperatorsI& aOperators);

/// Adds to aReadbacks the engines of one answer to "upstreams" whose model the
/// VM has read.
/// @param aText  text in force; the answer doesn't hold adapters, so each
///               engine is assumed to have those that this text lists
void
AddReadbacks(const Json::Value& aUpstreams,
             const FleetText* aText,
             Readbacks& aReadbacks);

/// Returns the names of the services with each dependency before its
/// dependents. Daemons give orders to engines in this sequence.
std::vector<std::string>
ServicesInDependencyOrder(const FleetText& aFleet);

/// A plan whose orders to engines are in the sequence in which daemons give
/// them.
struct OrderedPlan
{
  std::uint64_t m_from{ 0 }; ///< revision in force; 0: none
  std::uint64_t m_to{ 0 };
  std::vector<PlannedChange> m_changes; ///< in force within seconds
  std::vector<PlannedChange> m_steps;   ///< orders to engines, in sequence
  std::uint32_t m_ordersAtOnce{ 0 };    ///< engines of one service, at most
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
