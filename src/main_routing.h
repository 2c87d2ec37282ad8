#ifndef SHALLOTFORD_SRC_MAIN_ROUTING_H
#define SHALLOTFORD_SRC_MAIN_ROUTING_H

/// The daemon where configuration and upstreams are published on the platform.

#include "shallotford/fleet.h"

namespace shallotford {

/// Runs until a planned stop has ended.
/// @param aFile      settings file, read again on SIGHUP and when it changes
/// @throws Error (InvalidConfig) if it cannot listen
void
RunRouting(const Settings& aSettings, const std::string& aFile);

/// @throws Error (InvalidConfig) if the file cannot be read
std::string
ReadFile(const std::string& aName);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_MAIN_ROUTING_H
