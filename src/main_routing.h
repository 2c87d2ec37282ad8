#ifndef SHALLOTFORD_SRC_MAIN_ROUTING_H
#define SHALLOTFORD_SRC_MAIN_ROUTING_H

/// Runs the daemon as a router whose configuration and upstreams are published
/// on the users' platform.

#include "shallotford/fleet.h"

namespace shallotford {

/// Returns when a planned stop is complete.
/// @param aFile  the settings file, read again on SIGHUP and when it changes
/// @throws Error (InvalidConfig) if it cannot listen on an address
void
RunRouting(const Settings& aSettings, const std::string& aFile);

/// Returns the content of a file.
/// @throws Error (InvalidConfig) if it cannot be read
std::string
ReadFile(const std::string& aName);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_MAIN_ROUTING_H
