#ifndef SHALLOTFORD_SRC_FLEET_CHECK_H
#define SHALLOTFORD_SRC_FLEET_CHECK_H

/// Checks of a parsed fleet text that involve several of its fields, such as
/// references from one entry to another.

#include "shallotford/fleet.h"

namespace shallotford {

class CheckedDocument;

/// Adds a problem to aDocument for each duplicate name or address, unknown
/// reference, dependency cycle, engine pool that is too small and engine with
/// too little memory.
void
CheckFleet(const FleetText& aFleet, CheckedDocument& aDocument);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_FLEET_CHECK_H
