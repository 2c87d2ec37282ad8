#ifndef SHALLOTFORD_SRC_DAEMON_RUN_H
#define SHALLOTFORD_SRC_DAEMON_RUN_H

/// Runs the daemon: starts the worker and the control task, connects them, and
/// stops both after a planned stop.

#include "shallotford/fleet.h"

namespace shallotford {

/// Runs the daemon until a planned stop is complete. SIGTERM and SIGINT begin a
/// planned stop; SIGHUP reloads the certificates. Call it before any other
/// thread starts.
/// @throws Error (InvalidConfig) if a port cannot be opened
void
RunDaemon(const Settings& aSettings);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_DAEMON_RUN_H
