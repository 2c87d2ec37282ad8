#ifndef SHALLOTFORD_SRC_CONTROL_GOSSIP_H
#define SHALLOTFORD_SRC_CONTROL_GOSSIP_H

/// JSON forms of what gossip messages carry.

#include "shallotford/control/membership.h"

namespace shallotford {

/// Stands for an age that is unknown or too old to pass on.
constexpr char kNoAge = '.';
/// Characters of an entry in the list of ages: four of the key, one age.
constexpr std::size_t kAgeEntryChars = 5;

Json::Value
ToJson(const FleetAverages::Sample& aSample);
/// Skips entries that are no figures.
FleetAverages::Sample
ParseSample(const Json::Value& aValue);

/// Returns the character for the age of news: rounded up, so that passing
/// them on never makes them younger. @returns '.' if too old to pass on
char
EncodeAge(Duration aAge);
/// @returns nothing if aChar is no age
std::optional<Duration>
DecodeAge(char aChar);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_CONTROL_GOSSIP_H
