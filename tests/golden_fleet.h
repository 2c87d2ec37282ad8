#ifndef SHALLOTFORD_TESTS_GOLDEN_FLEET_H
#define SHALLOTFORD_TESTS_GOLDEN_FLEET_H

/// Reads the fleet text tests/golden/fleet.json, which several tests share.

#include "shallotford/fleet.h"

#include <fstream>
#include <sstream>

namespace shallotford {

inline FleetPtr
GoldenFleet()
{
  std::string name = std::string(TEST_DATA_DIR) + "/golden/fleet.json";
  std::ifstream file(name);
  std::ostringstream text;
  text << file.rdbuf();
  return ParseFleetText(text.str(), name);
}

} // namespace shallotford

#endif // SHALLOTFORD_TESTS_GOLDEN_FLEET_H
