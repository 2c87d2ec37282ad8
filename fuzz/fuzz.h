#ifndef SHALLOTFORD_FUZZ_FUZZ_H
#define SHALLOTFORD_FUZZ_FUZZ_H

/// Helpers of the fuzz targets. Every target checks that its parser either
/// accepts an input or throws an Error with a message and a remedy. Any other
/// exception, and any fault found by a sanitizer, ends the run.

#include "shallotford/base.h"

#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

namespace shallotford::fuzz {

/// Ends the run if a property doesn't hold.
inline void
Require(bool aHolds)
{
  if (!aHolds) {
    std::abort();
  }
}

inline std::string_view
AsText(const std::uint8_t* aData, std::size_t aSize)
{
  return { reinterpret_cast<const char*>(aData), aSize };
}

/// Calls aRead and checks the Error that it may throw.
/// @return whether aRead returned without an Error
template<class Reader>
bool
ReadsOrRefuses(Reader&& aRead)
{
  try {
    aRead();
    return true;
  } catch (const Error& error) {
    Require(!std::string_view(error.what()).empty());
    Require(!error.Remedy().empty());
    return false;
  }
}

} // namespace shallotford::fuzz

/// Called by libFuzzer with each input.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize);

#endif // SHALLOTFORD_FUZZ_FUZZ_H
