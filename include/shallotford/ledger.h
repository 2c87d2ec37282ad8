#ifndef SHALLOTFORD_LEDGER_H
#define SHALLOTFORD_LEDGER_H

/// Decisions that make every request end exactly once. This is the library's
/// public header; the files that it includes are its parts.
///
/// Everything here is pure: no sockets, clocks, threads or logs. Time is
/// passed in. One task owns each object.

#include "shallotford/ledger/poison.h"
#include "shallotford/ledger/requests.h"
#include "shallotford/ledger/resume.h"
#include "shallotford/ledger/retry.h"
#include "shallotford/ledger/sweep.h"
#include "shallotford/ledger/tickets.h"

#endif // SHALLOTFORD_LEDGER_H
