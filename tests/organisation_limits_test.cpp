/// Tests of organisations' limits over all VMs: the accounting in virtual time,
/// under load and failures.

#define BOOST_TEST_MODULE organisation_limits
#include <boost/test/unit_test.hpp>

#include "limit_scenarios.h"

using namespace shallotford;
using namespace shallotford::test;

namespace {

const TimePoint kStart{ 100s };
const RateLimit kLimit{ .m_perSecond = 1'000,
                        .m_burst = 4'000,
                        .m_countsTokens = true,
                        .m_plainTokens = 200 };

} // namespace

BOOST_AUTO_TEST_CASE(a_request_costs_its_tokens_or_one)
{
  BOOST_TEST(CostOf(kLimit, 5'000, 70) == 5'070);
  BOOST_TEST(CostOf(kLimit, 0, 0) == 200);
  BOOST_TEST(CostOf(kLimit, UINT32_MAX, UINT32_MAX) == 2.0 * UINT32_MAX);
  BOOST_TEST(CostOf({ .m_perSecond = 1, .m_burst = 1 }, 5'000, 70) == 1);
}

BOOST_AUTO_TEST_CASE(a_request_beyond_the_limit_is_told_when_to_come_back)
{
  LimitIssuer issuer;
  LimitAsk ask{ .m_vm = "a", .m_needed = { 2'000 }, .m_perSecond = 1'000 };
  issuer.Issue("o", kLimit, { .m_vm = "a" }, {}, kStart - 200ms); // 2,000 now
  BOOST_TEST(issuer.Issue("o", kLimit, ask, {}, kStart)->m_granted >= 2'000);
  auto refused = *issuer.Issue("o", kLimit, ask, {}, kStart);
  BOOST_TEST(refused.m_granted == 0);
  BOOST_TEST((refused.m_retryAfter >= 1'900ms));
  BOOST_TEST((refused.m_retryAfter <= 2'300ms));
  // Those who come back do so one after the other.
  auto later = *issuer.Issue("o", kLimit, ask, {}, kStart);
  BOOST_TEST((later.m_retryAfter >= refused.m_retryAfter + 1'900ms));
  BOOST_TEST(issuer.Issue("o", kLimit, ask, {}, kStart + 2'300ms)->m_granted >=
             2'000);
}

BOOST_AUTO_TEST_CASE(a_limit_without_a_burst_spaces_requests)
{
  for (bool countsTokens : { false, true }) {
    RateLimit limit{ .m_perSecond = 10,
                     .m_countsTokens = countsTokens,
                     .m_plainTokens = 1 };
    LimitIssuer issuer;
    LimitAsk ask{ .m_vm = "a", .m_needed = { 1 }, .m_perSecond = 1 };
    BOOST_TEST(issuer.Issue("o", limit, ask, {}, kStart)->m_granted == 1);
    BOOST_TEST(issuer.Issue("o", limit, ask, {}, kStart)->m_granted == 0);
    BOOST_TEST(issuer.Issue("o", limit, ask, {}, kStart + 100ms)->m_granted ==
               1);
  }
}

BOOST_AUTO_TEST_CASE(unused_units_return_and_no_more_than_were_leased)
{
  LimitIssuer issuer;
  LimitAsk ask{ .m_vm = "a", .m_needed = { 2'000 }, .m_perSecond = 1'000 };
  issuer.Issue("o", kLimit, { .m_vm = "a" }, {}, kStart - 200ms); // 2,000 now
  issuer.Issue("o", kLimit, ask, {}, kStart);
  LimitAsk back{
    .m_vm = "a", .m_needed = { 2'000 }, .m_returned = 2'000, .m_perSecond = 1
  };
  BOOST_TEST(issuer.Issue("o", kLimit, back, {}, kStart)->m_granted == 2'000);
  back.m_vm = "b"; // it never had any
  BOOST_TEST(issuer.Issue("o", kLimit, back, {}, kStart)->m_granted == 0);
}

BOOST_AUTO_TEST_CASE(no_owner_issues_right_after_its_start_or_a_pause)
{
  LimitIssuer issuer(kStart + 1s);
  LimitAsk ask{ .m_vm = "a", .m_needed = { 1 }, .m_perSecond = 1 };
  BOOST_TEST(!issuer.Issue("o", kLimit, ask, {}, kStart));
  BOOST_TEST(issuer.Issue("o", kLimit, ask, {}, kStart + 1s).has_value());
  issuer.Reset(kStart + 5s);
  BOOST_TEST(!issuer.Issue("o", kLimit, ask, {}, kStart + 4s));
}

BOOST_AUTO_TEST_CASE(shares_of_one_owner_sum_to_at_most_one)
{
  LimitIssuer issuer;
  double sum = 0;
  for (const char* vm : { "a", "b", "c", "d" }) {
    LimitAsk ask{ .m_vm = vm, .m_needed = { 1 }, .m_perSecond = 1'000 };
    sum += issuer.Issue("o", kLimit, ask, {}, kStart)->m_share;
  }
  BOOST_TEST(sum <= 1 + 1e-9);
}

BOOST_AUTO_TEST_CASE(a_vm_without_demand_has_nothing_to_say)
{
  LimitLease lease(1);
  BOOST_TEST(!lease.WantsToAsk(kStart));
  lease.OnDemand(100, kStart);
  LimitAsk ask = lease.MakeAsk({ 100 }, kStart);
  BOOST_TEST(lease.OnReply({ .m_granted = 150, .m_lease = 1s, .m_share = 1 },
                           ask.m_needed,
                           kStart,
                           kStart)[0]);
  // The rest and the share go back, and that is all.
  BOOST_TEST(lease.WantsToAsk(kStart + 2s));
  LimitAsk back = lease.MakeAsk({}, kStart + 2s);
  BOOST_TEST(back.m_returned == 50);
  BOOST_TEST(back.m_perSecond == 0);
  lease.OnReply({ .m_lease = 1s }, {}, kStart + 2s, kStart + 2s);
  BOOST_TEST(!lease.WantsToAsk(kStart + 3s));
}

BOOST_AUTO_TEST_CASE(a_vm_alone_uses_its_share_and_then_an_equal_one)
{
  for (auto [at, rate] : { std::pair(1s, 500.0), std::pair(20s, 100.0) }) {
    LimitLease lease(7);
    lease.OnDemand(10, kStart);
    LimitAsk ask = lease.MakeAsk({ 10 }, kStart);
    lease.OnReply(
      { .m_granted = 10, .m_share = 0.5 }, ask.m_needed, kStart, kStart);
    double ran = 0;
    for (auto now = kStart + at; now < kStart + at + 6s; now += 10ms) {
      lease.OnNoReply(now);
      auto verdict =
        lease.Take(10, kLimit, { .m_live = 1, .m_known = 10 }, now);
      ran += verdict == LimitLease::Verdict::Granted ? 10 : 0;
    }
    BOOST_TEST(ran >= rate * 6 - 10);
    BOOST_TEST(ran <= rate * (6 + 2) + 10);
  }
}

BOOST_AUTO_TEST_CASE(no_window_holds_more_than_the_limit_in_200_seeds)
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    const Disturbance& what = kDisturbances[seed % kDisturbances.size()];
    Outcome outcome = Play(seed, what);
    BOOST_TEST_CONTEXT("seed " << seed << ", " << what.m_name)
    {
      BOOST_TEST(outcome.m_most <= outcome.m_allowed);
    }
  }
}

BOOST_AUTO_TEST_CASE(what_lies_below_the_limit_is_served)
{
  for (const Disturbance& what : kDisturbances) {
    if (what.m_kind != DisturbanceKind::Load) {
      continue;
    }
    BOOST_TEST_CONTEXT(what.m_name)
    {
      Summary leases = PlaySeeds(what, 20);
      Summary equal = PlaySeeds(what, 20, LimitPolicy::Equal);
      Summary gossiped = PlaySeeds(what, 20, LimitPolicy::Gossiped);
      BOOST_TEST_MESSAGE(what.m_name << ": served with leases "
                                     << leases.m_served << ", equal parts "
                                     << equal.m_served << ", gossiped parts "
                                     << gossiped.m_served);
      BOOST_TEST(leases.m_served >= 0.97);
      BOOST_TEST(leases.m_served > equal.m_served);
      BOOST_TEST(leases.m_served > gossiped.m_served);
    }
  }
}

BOOST_AUTO_TEST_CASE(what_lies_below_the_limit_is_served_in_failures)
{
  for (const Disturbance& what : kDisturbances) {
    if (what.m_kind != DisturbanceKind::Failure) {
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

BOOST_AUTO_TEST_CASE(a_lowered_limit_holds_one_window_later)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    RateLimit limit{ .m_perSecond = 800'000,
                     .m_burst = 1'600'000,
                     .m_countsTokens = true };
    LimitFleet fleet(
      { .m_perSecond = 900'000, .m_limit = limit, .m_seed = seed });
    fleet.Run(12s);
    limit.m_perSecond *= 0.3;
    limit.m_burst *= 0.3;
    fleet.SetLimit(limit);
    TimePoint lowered = fleet.Now();
    fleet.StartCounting();
    fleet.Run(20s);
    BOOST_TEST(fleet.MostIn(8s, lowered, fleet.Now()) <= Allowed(limit));
    BOOST_TEST(fleet.ServedShare() >= 0.97);
  }
}
