#ifndef SHALLOTFORD_CONTROL_H
#define SHALLOTFORD_CONTROL_H

/// Coordination of the entry VMs without shared state: configuration revisions,
/// membership by gossip, ownership, orders to engines and the audit trail. The
/// classes do no I/O: time is passed in, and one task owns each object.

#include "shallotford/control/audit.h"
#include "shallotford/control/membership.h"
#include "shallotford/control/ownership.h"
#include "shallotford/control/plan.h"
#include "shallotford/control/platform.h"
#include "shallotford/control/reconcile.h"
#include "shallotford/control/revision.h"

#endif // SHALLOTFORD_CONTROL_H
