/// Measures the process's memory while upstreams send without end. One that
/// kept what they send ran out of memory, and the requests of all its callers
/// ended.

#define BOOST_TEST_MODULE router_endless_memory
#include <boost/test/unit_test.hpp>

#include "router_endless_fixture.h"

#include <fstream>

using namespace shallotford;
using namespace shallotford::test;

namespace {

/// A quarter of the memory of a VM with 110 MB. Each upstream offers more than
/// twice as much.
constexpr std::size_t kMaxGrowthKb = 110u * 1'024 / 4;

/// Returns the largest resident memory of this process so far.
std::size_t
PeakMemoryKb()
{
  std::ifstream status("/proc/self/status");
  std::string name;
  std::size_t value = 0;
  while (status >> name) {
    if (name == "VmHWM:" && status >> value) {
      return value;
    }
  }
  return 0;
}

struct Measured : Endless
{
  Measured()
    : m_before(PeakMemoryKb())
  {
    BOOST_TEST_REQUIRE(m_before > 0U);
  }

  void SetFirst(const Case& aCase)
  {
    m_attempts = 0;
    m_first = aCase.m_answer;
  }
  void CheckMemory(const Case& aCase)
  {
    CheckClosedEarly();
    std::size_t growth = PeakMemoryKb() - m_before;
    BOOST_TEST(growth < kMaxGrowthKb, aCase.m_name << ": " << growth << " KB");
    BOOST_TEST_MESSAGE(aCase.m_name << ": " << growth << " KB");
  }

  std::size_t m_before;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(heads_and_unused_bodies_without_end_are_not_kept,
                        Measured)
{
  for (const auto* cases : { &kHeads, &kChunkLines, &kFailures, &kRefusals }) {
    for (const Case& one : *cases) {
      if (!one.m_answer.m_slow) {
        SetFirst(one);
        Ask("/safe/x", "r1");
        CheckMemory(one);
      }
    }
  }
}

BOOST_FIXTURE_TEST_CASE(bodies_without_end_for_callers_that_do_not_read,
                        Measured)
{
  for (const auto* cases : { &kBodies, &kStreams }) {
    for (const Case& one : *cases) {
      if (!one.m_answer.m_slow) {
        SetFirst(one);
        SilentCaller caller(*this,
                            cases == &kBodies ? "/safe/x" : "/resumed/x");
        CheckMemory(one);
      }
    }
  }
}
