/// Tests of what organisations' callers get within their limits while the VM
/// that owns the limit is away and comes back.

#define BOOST_TEST_MODULE organisation_limits_losses
#include <boost/test/unit_test.hpp>

#include "limit_scenarios.h"

using namespace shallotford;
using namespace shallotford::test;

BOOST_AUTO_TEST_CASE(what_lies_below_the_limit_is_served_while_an_owner_is_away)
{
  for (const Disturbance& what : kDisturbances) {
    if (what.m_kind != DisturbanceKind::OwnerAway) {
      continue;
    }
    BOOST_TEST_CONTEXT(what.m_name)
    {
      Summary summary = PlaySeeds(what, 20);
      BOOST_TEST_MESSAGE(what.m_name << ": served " << summary.m_served);
      BOOST_TEST(summary.m_served >= 0.97);
    }
  }
}
