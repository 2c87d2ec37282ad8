#ifndef SHALLOTFORD_CONTROL_H
#define SHALLOTFORD_CONTROL_H

/// How the VMs act together without shared state: configuration revisions,
/// membership by gossip, ownership, orders to engines and the audit trail.
/// Everything here is pure: time is passed in, and one task owns each object.

#include "shallotford/control/audit.h"
#include "shallotford/control/membership.h"
#include "shallotford/control/ownership.h"
#include "shallotford/control/plan.h"
#include "shallotford/control/platform.h"
#include "shallotford/control/reconcile.h"
#include "shallotford/control/revision.h"

#endif // SHALLOTFORD_CONTROL_H
