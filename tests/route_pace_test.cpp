/// Tests of the choice by pace: where it acts, and what it gives way to.

#define BOOST_TEST_MODULE route_pace
#include <boost/test/unit_test.hpp>

#include "config.h"
#include "shallotford/route.h"

#include <algorithm>
#include <array>
#include <random>

using namespace shallotford;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeed = 7;
constexpr TimePoint kStart{ 100s };
constexpr std::array<const char*, 3> kDomains = { "a1", "a2", "b1" };

Location
ThreeDomains()
{
  return { .m_failureDomain = "a1",
           .m_regions = { { "a1", "a" }, { "a2", "a" }, { "b1", "b" } } };
}

UpstreamPtr
Add(UpstreamTable& aTable, const std::string& aId, const char* aDomain = "a1")
{
  aTable.Put({ .m_key = { aId, 1 },
               .m_service = "s",
               .m_address = "10.0.0.1:80",
               .m_failureDomain = aDomain,
               .m_slots = 6 });
  return aTable.Find({ aId, 1 });
}

/// The upstream's answers take aSlowness times as long as the others'.
void
Answer(UpstreamTable& aTable, Upstream& aUpstream, double aSlowness)
{
  auto took = std::chrono::duration_cast<Duration>(60ms * aSlowness);
  for (int i = 0; i < 10; ++i) {
    aTable.OnWork(aUpstream, "plain", 1, took, kStart);
  }
}

/// Returns the share of 1,000 requests that aUpstream gets.
double
ShareOf(const UpstreamTable& aTable,
        const UpstreamPtr& aUpstream,
        PickRequest aRequest = {})
{
  aRequest.m_service = "s";
  int chosen = 0;
  for (std::uint64_t i = 0; i < 1'000; ++i) {
    aRequest.m_salt = StableHash("request", i);
    chosen += aTable.Pick(aRequest, kStart) == aUpstream ? 1 : 0;
  }
  return chosen / 1'000.0;
}

/// The cost by distance, utilisation and failures alone.
double
CostWithoutPace(const Upstream& aUpstream, std::uint64_t aSalt, TimePoint aNow)
{
  const UpstreamEntry& entry = aUpstream.m_entry;
  const UpstreamHealth& health = aUpstream.m_health;
  double used = health.Utilisation(entry.m_slots, aNow) +
                aUpstream.m_reserved / static_cast<double>(entry.m_slots);
  double cost =
    DistanceCost(DistanceBetween(ThreeDomains(), "a1", entry.m_failureDomain));
  cost += used + kWaitingCost * std::max(0.0, used - 1);
  cost += kFailureCost *
          std::max(0.0, health.FailureShare(aNow) - kToleratedFailureShare);
  cost += health.RefusedRecently(aNow) ? kRefusalCost : 0;
  return cost + kMaxRandomCost * UnitOf(StableHash(entry.m_key.m_id, aSalt));
}

/// A table of six upstreams in a random state, and the time.
TimePoint
Fill(UpstreamTable& aTable, std::mt19937_64& aRandom, bool aTells)
{
  TimePoint now = kStart;
  for (int i = 0; i < 6; ++i) {
    UpstreamPtr upstream =
      Add(aTable, "u" + std::to_string(i), kDomains.at(aRandom() % 3));
    upstream->m_reserved = aRandom() % 3;
    for (std::uint64_t j = aRandom() % 8; j > 0; --j) {
      upstream->m_health.OnStart(now);
      now += std::chrono::milliseconds(aRandom() % 100);
    }
    if (upstream->m_health.InFlight() > 0 && aRandom() % 2 == 0) {
      upstream->m_health.OnEnd(AttemptEnd::Refused, now, now);
    }
    aTable.OnLoad(*upstream,
                  { .m_running = static_cast<std::uint32_t>(aRandom() % 12),
                    .m_slowness = aTells ? 2.5 : 1,
                    .m_tellsSlowness = aTells },
                  now);
    aTable.OnWork(
      *upstream, "plain", 1, std::chrono::milliseconds(aRandom() % 500), now);
  }
  return now;
}

} // namespace

BOOST_AUTO_TEST_CASE(without_pace_choices_are_those_of_utilisation)
{
  std::mt19937_64 random(kSeed);
  for (int i = 0; i < 500; ++i) {
    bool never = i % 2 == 0;
    UpstreamTable table(ThreeDomains(),
                        never ? AdaptiveChoice::Never : AdaptiveChoice::Told);
    TimePoint now = Fill(table, random, never);
    std::uint64_t salt = random();
    std::vector<UpstreamPtr> all = table.All();
    auto expected =
      std::min_element(all.begin(),
                       all.end(),
                       [&](const UpstreamPtr& aOne, const UpstreamPtr& aOther) {
                         return CostWithoutPace(*aOne, salt, now) <
                                CostWithoutPace(*aOther, salt, now);
                       });
    PickRequest request{ .m_service = "s",
                         .m_fromDomain = {},
                         .m_excluded = {},
                         .m_salt = salt,
                         .m_softwareVersion = {} };
    BOOST_TEST_REQUIRE(table.Pick(request, now) == *expected);
  }
}

BOOST_AUTO_TEST_CASE(pace_counts_once_an_upstream_of_the_service_tells_it)
{
  for (bool tells : { false, true }) {
    UpstreamTable table(ThreeDomains(), AdaptiveChoice::Told);
    UpstreamPtr fast = Add(table, "u1");
    UpstreamPtr slow = Add(table, "u2");
    Answer(table, *fast, 0.6);
    Answer(table, *slow, 1.6);
    table.OnLoad(*slow, { .m_tellsSlowness = tells }, kStart);
    double share = ShareOf(table, fast);
    BOOST_TEST((share > 0.7) == tells);
    // Not all go to it: other VMs know the same.
    BOOST_TEST(share < 0.97);
  }
}

BOOST_AUTO_TEST_CASE(a_fast_upstream_gets_nothing_that_rules_forbid)
{
  UpstreamTable table(ThreeDomains(), AdaptiveChoice::Always);
  UpstreamPtr fast = Add(table, "u1");
  UpstreamPtr slow = Add(table, "u2");
  Answer(table, *fast, 0.3);
  Answer(table, *slow, 3);
  BOOST_TEST(ShareOf(table, fast) > 0.9);
  PickRequest excluded{ .m_service = "s",
                        .m_fromDomain = {},
                        .m_excluded = { fast->m_entry.m_key },
                        .m_softwareVersion = {} };
  BOOST_TEST(ShareOf(table, fast, excluded) == 0);
  PickRequest otherVersion = { .m_service = "s",
                               .m_fromDomain = {},
                               .m_excluded = {},
                               .m_softwareVersion = "2" };
  BOOST_TEST(ShareOf(table, fast, otherVersion) == 0);
  fast->m_health.OnStart(kStart);
  fast->m_health.OnEnd(AttemptEnd::NotConnected, kStart, kStart);
  BOOST_TEST(ShareOf(table, fast) == 0);
  fast->m_health.ForgetFailures();
  BOOST_TEST(ShareOf(table, fast) > 0.9);
  table.OnLeaving(fast->m_entry.m_key);
  BOOST_TEST(ShareOf(table, fast) == 0);
}

BOOST_AUTO_TEST_CASE(a_near_upstream_is_preferred_until_it_is_slow)
{
  UpstreamTable table(ThreeDomains(), AdaptiveChoice::Always);
  UpstreamPtr near = Add(table, "u1", "a1");
  UpstreamPtr far = Add(table, "u2", "b1");
  BOOST_TEST(ShareOf(table, near) > 0.9);
  Answer(table, *far, 1);
  Answer(table, *near, 5);
  Answer(table, *far, 1);
  BOOST_TEST(ShareOf(table, near) < 0.8);
}

BOOST_AUTO_TEST_CASE(own_requests_count_before_any_report)
{
  UpstreamTable table(ThreeDomains(), AdaptiveChoice::Always);
  UpstreamPtr busy = Add(table, "u1");
  Add(table, "u2");
  for (int i = 0; i < 6; ++i) {
    busy->m_health.OnStart(kStart);
  }
  BOOST_TEST(ShareOf(table, busy) < 0.1);
}
