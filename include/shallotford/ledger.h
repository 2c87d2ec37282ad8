#ifndef SHALLOTFORD_LEDGER_H
#define SHALLOTFORD_LEDGER_H

/// Public header of the ledger library, which tracks each request from its
/// arrival until it ends, exactly once: the request state machine, retries,
/// tickets (idempotency keys), resumed streams, cancels, and the quarantine of
/// requests that crash engines.
///
/// Everything here is pure: no sockets, clocks, threads or logs. Time is
/// passed in. Each object belongs to one task.

#include "shallotford/ledger/poison.h"
#include "shallotford/ledger/requests.h"
#include "shallotford/ledger/resume.h"
#include "shallotford/ledger/retry.h"
#include "shallotford/ledger/sweep.h"
#include "shallotford/ledger/tickets.h"

#endif // SHALLOTFORD_LEDGER_H
