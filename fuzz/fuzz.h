#ifndef SHALLOTFORD_FUZZ_FUZZ_H
#define SHALLOTFORD_FUZZ_FUZZ_H

/// What every fuzz target checks: input is either read or refused by an Error
/// that says what is wrong and how to mend it. Any other exception, and any
/// fault that a sanitizer finds, ends the run.

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

/// Runs aRead. @returns whether it went through without an Error
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
