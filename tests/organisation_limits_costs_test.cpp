/// Tests of what requests cost organisations: which ones fit, and which units
/// come back.

#define BOOST_TEST_MODULE organisation_limits_costs
#include <boost/test/unit_test.hpp>

#include "config.h"
#include "shallotford/organisation.h"

using namespace shallotford;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 100s };

} // namespace

BOOST_AUTO_TEST_CASE(requests_fit_while_most_vms_are_lost)
{
  const FleetView kView{ .m_live = 10, .m_known = 76 };
  const std::vector<std::pair<RateLimit, double>> kCases{
    { { .m_perSecond = 100, .m_burst = 4 }, 1 },
    { { .m_perSecond = 16'000, .m_burst = 16'000, .m_countsTokens = true },
      3'272 },
  };
  for (const auto& [limit, cost] : kCases) {
    LimitIssuer issuer;
    double granted = 0;
    for (auto at = 0ms; at < 60s; at += 20ms) {
      LimitAsk ask{ .m_vm = "a", .m_needed = { cost }, .m_perSecond = 1 };
      granted += issuer.Issue("o", limit, ask, kView, kStart + at)->m_granted;
    }
    double part = kMaxGrantPartsSum * 10 / 76;
    BOOST_TEST(granted >= 0.75 * limit.m_perSecond * part * 60);
    BOOST_TEST(granted <= limit.m_perSecond * part * 60 + limit.m_burst);
  }
}

BOOST_AUTO_TEST_CASE(a_request_that_costs_nothing_runs_and_hinders_none)
{
  const RateLimit kLimit{ .m_perSecond = 1'000,
                          .m_burst = 4'000,
                          .m_countsTokens = true };
  double cost = CostOf(kLimit, 0, 0);
  BOOST_TEST(cost == 0);
  LimitLease lease(1);
  lease.OnDemand(cost, kStart);
  BOOST_TEST(
    (lease.Take(cost, kLimit, {}, kStart) == LimitLease::Verdict::Granted));
  BOOST_TEST((lease.Take(5, kLimit, {}, kStart) == LimitLease::Verdict::Ask));
}

BOOST_AUTO_TEST_CASE(units_return_only_while_they_may_be_unused)
{
  const RateLimit kLimit{ .m_perSecond = 1,
                          .m_burst = 4'000,
                          .m_countsTokens = true };
  for (auto [after, returns] :
       { std::pair(kGrantLease, true), std::pair(kGrantLease * 5, false) }) {
    LimitIssuer issuer;
    LimitAsk ask{ .m_vm = "a", .m_needed = { 800 }, .m_perSecond = 1 };
    BOOST_TEST(issuer.Issue("o", kLimit, ask, {}, kStart)->m_granted == 800);
    LimitAsk back{
      .m_vm = "a", .m_needed = { 700 }, .m_returned = 800, .m_perSecond = 1
    };
    double granted =
      issuer.Issue("o", kLimit, back, {}, kStart + after)->m_granted;
    BOOST_TEST(granted == (returns ? 700 : 0));
  }
}
