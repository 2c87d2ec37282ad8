#ifndef SHALLOTFORD_SRC_PLACEMENT_PLACERS_H
#define SHALLOTFORD_SRC_PLACEMENT_PLACERS_H

/// The placers that MakePlacer chooses from.

#include "shallotford/placement.h"

namespace shallotford {

/// Parts of the joint placer that can be switched off for comparison.
struct JointOptions
{
  bool m_affinity{ true };        ///< use hints of cached prefixes
  bool m_rendezvous{ false };     ///< favour the engine a prefix hashes to
  bool m_twoChoices{ false };     ///< weigh two random engines of each role
  bool m_spreadNearEqual{ true }; ///< choose at random among near-equal pairs
  bool m_expectOthers{ true };    ///< add the likely work of other VMs
  bool m_refuseLate{ true };      ///< refuse what would miss its target
};

std::unique_ptr<PlacerI>
MakeNaivePlacer();
std::unique_ptr<PlacerI>
MakeJointPlacer(const JointOptions& aOptions);

/// Refusal for want of any engine in a role.
PlacementRefusal
NoEngine(EngineRole aRole);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_PLACEMENT_PLACERS_H
