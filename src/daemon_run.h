#ifndef SHALLOTFORD_SRC_DAEMON_RUN_H
#define SHALLOTFORD_SRC_DAEMON_RUN_H

/// Starts and stops the daemon's tasks.

#include "shallotford/fleet.h"

namespace shallotford {

/// Runs the daemon until a planned stop is complete. SIGTERM and SIGINT begin
/// one; SIGHUP re-reads certificates. Call it before any other thread starts.
/// @throws Error (InvalidConfig) if a port cannot be opened
void
RunDaemon(const Settings& aSettings);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_DAEMON_RUN_H
