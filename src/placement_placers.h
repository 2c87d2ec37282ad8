#ifndef SHALLOTFORD_SRC_PLACEMENT_PLACERS_H
#define SHALLOTFORD_SRC_PLACEMENT_PLACERS_H

/// The placers that MakePlacer can create.

#include "shallotford/placement.h"

namespace shallotford {

/// Parts of the joint placer that can be switched on or off for comparisons.
struct JointOptions
{
  bool m_affinity{ true };         ///< use the prefix hints
  bool m_rendezvous{ false };      ///< prefer the engine a prefix hashes to
  bool m_twoChoices{ false };      ///< weigh two random engines of each role
  bool m_spreadNearEqual{ true };  ///< choose at random among near-equal pairs
  bool m_estimateOtherVms{ true }; ///< estimate work of other VMs
  bool m_refuseLate{ true };       ///< refuse if the target would be missed
};

std::unique_ptr<PlacerI>
MakeNaivePlacer();
std::unique_ptr<PlacerI>
MakeJointPlacer(const JointOptions& aOptions);

/// Returns the refusal for a role without a usable engine.
PlacementRefusal
NoEngine(EngineRole aRole);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_PLACEMENT_PLACERS_H
