#ifndef SHALLOTFORD_SRC_CONTROL_GOSSIP_H
#define SHALLOTFORD_SRC_CONTROL_GOSSIP_H

/// Converts averages and ages to and from the form that gossip messages carry.

#include "shallotford/control/membership.h"

namespace shallotford {

/// Stands for an age that is unknown or too old to pass on.
constexpr char kNoAge = '.';
/// Characters of an entry in a keyed list of ages: four of the key, one age.
constexpr std::size_t kAgeEntryChars = 5;

Json::Value
ToJson(const FleetAverages::Sample& aSample);
/// Skips entries that are not unsigned integers.
FleetAverages::Sample
ParseSample(const Json::Value& aValue);

/// Returns the character for an age, in units of kAgeUnit and rounded up, so
/// that passing an age on never reduces it. @returns kNoAge if too old to pass
/// on
char
EncodeAge(Duration aAge);
/// @returns nothing if aChar is no age
std::optional<Duration>
DecodeAge(char aChar);

} // namespace shallotford

#endif // SHALLOTFORD_SRC_CONTROL_GOSSIP_H
