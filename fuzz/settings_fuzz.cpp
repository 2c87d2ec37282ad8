/// Fuzz target for ParseSettings(), the parser of settings files.

#include "fuzz.h"
#include "shallotford/fleet.h"

using namespace shallotford;

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  std::string text(fuzz::AsText(aData, aSize));
  Settings settings;
  if (!fuzz::ReadsOrRefuses([&] { settings = ParseSettings(text, "vm"); })) {
    return 0;
  }
  // Accepted settings must contain only valid addresses.
  ParseAddress(settings.m_callerAddress);
  ParseAddress(settings.m_peerAddress);
  ParseAddress(settings.m_operatorAddress);
  ParseAddress(settings.m_platformAddress);
  fuzz::Require(settings.m_maxConnections > 0);
  return 0;
}
