#ifndef SHALLOTFORD_SRC_FLEET_CHECK_H
#define SHALLOTFORD_SRC_FLEET_CHECK_H

/// Checks that span several fields of a fleet text.

#include "shallotford/fleet.h"

namespace shallotford {

class CheckedDocument;

/// Adds to aDocument a problem for each duplicate name or address, unknown
/// reference, dependency cycle and pool that can't serve.
void
CheckFleet(const FleetText& aFleet, CheckedDocument& aDocument);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_FLEET_CHECK_H
