#ifndef SHALLOTFORD_TESTS_LEDGER_CHECK_H
#define SHALLOTFORD_TESTS_LEDGER_CHECK_H

/// Shared parts of the ledger's tests: number of generated cases, a source of
/// fixed random numbers, and readers of generated scripts.

#include "shallotford/base.h"

#include <cstdlib>
#include <rapidcheck.h>

namespace shallotford {

/// Raises RapidCheck's number of cases; the seed stays the environment's.
struct ManyCases
{
  ManyCases()
  {
    const char* params = std::getenv("RC_PARAMS");
    std::string text = params == nullptr ? "seed=1" : params;
    setenv("RC_PARAMS", (text + " max_success=3000 max_size=200").c_str(), 1);
  }
};

/// Always returns half of the range.
class HalfRandom : public RandomI
{
public:
  std::uint64_t Next() override { return std::uint64_t{ 1 } << 63; }
};

/// A generated list of choices, each a number that the test splits by Take().
using Script = std::vector<std::uint32_t>;

inline Script
AnyScript()
{
  return *rc::gen::container<Script>(rc::gen::inRange(0u, 1u << 24));
}

/// Returns a choice in [0, aBound) from aNumber and removes it there.
inline std::uint32_t
Take(std::uint32_t& aNumber, std::uint32_t aBound)
{
  std::uint32_t choice = aNumber % aBound;
  aNumber /= aBound;
  return choice;
}

} // namespace shallotford

#endif // SHALLOTFORD_TESTS_LEDGER_CHECK_H
