/// Tests of what is learnt of upstreams: slowness against their service and
/// the limit above which they only get slower. The load: 30 upstreams of speeds
/// 0.6, 1 and 1.6 that answer some requests a second to one VM.

#define BOOST_TEST_MODULE capacity
#include <boost/test/unit_test.hpp>

#include "config.h"
#include "shallotford/capacity.h"

#include <array>
#include <cmath>
#include <random>
#include <vector>

using namespace shallotford;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeed = 1;
constexpr TimePoint kStart{ 100s };
constexpr std::array<double, 3> kTrueSlowness = { 1 / 0.6, 1, 1 / 1.6 };

struct Fleet
{
  std::mt19937_64 m_random{ kSeed };
  ServicePace m_service;
  std::vector<UpstreamPace> m_paces{ 30 };
  TimePoint m_now{ kStart };

  static double TrueSlowness(std::size_t aIndex)
  {
    return kTrueSlowness.at(aIndex % kTrueSlowness.size());
  }
  /// One answer of an upstream. Its time varies by half; one in 20 takes ten
  /// times as long, as this VM or the upstream paused.
  void Answer(std::size_t aIndex, double aFactor = 1, double aLoad = 0)
  {
    double units = 100 + 4'900 * UnitOf(m_random());
    double noise = 0.75 + UnitOf(m_random()) / 2;
    noise *= UnitOf(m_random()) < 0.05 ? 10 : 1;
    auto took = std::chrono::duration_cast<Duration>(
      18us * units * TrueSlowness(aIndex) * noise * aFactor);
    m_service.OnWork(m_paces[aIndex], units, took, aLoad, m_now);
  }
  void Converge(std::size_t aRounds = 40)
  {
    for (std::size_t round = 0; round < aRounds; ++round) {
      for (std::size_t i = 0; i < m_paces.size(); ++i) {
        Answer(i);
      }
      m_now += 500ms;
    }
  }
  double Slowness(std::size_t aIndex) const
  {
    return m_paces[aIndex].Slowness(m_now);
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(speeds_are_found_whatever_the_size_of_requests)
{
  Fleet fleet;
  fleet.Converge();
  double fast = 0;
  double slow = 0;
  for (std::size_t i = 0; i < fleet.m_paces.size(); i += 3) {
    slow += std::log(fleet.Slowness(i) / fleet.Slowness(i + 1)) / 10;
    fast += std::log(fleet.Slowness(i + 2) / fleet.Slowness(i + 1)) / 10;
    BOOST_TEST(fleet.Slowness(i) > fleet.Slowness(i + 2));
  }
  BOOST_TEST(std::exp(slow) > 1.35);
  BOOST_TEST(std::exp(slow) < 1.9);
  BOOST_TEST(std::exp(fast) > 0.55);
  BOOST_TEST(std::exp(fast) < 0.75);
}

BOOST_AUTO_TEST_CASE(a_change_is_followed_within_a_second_of_answers)
{
  Fleet fleet;
  fleet.Converge();
  double before = fleet.Slowness(1);
  auto answerForASecond = [&](double aFactor) {
    for (int i = 0; i < 5; ++i) {
      fleet.m_now += 200ms;
      fleet.Answer(1, aFactor);
    }
  };
  answerForASecond(2.5);
  BOOST_TEST(fleet.Slowness(1) > 1.7 * before);
  answerForASecond(1);
  BOOST_TEST(fleet.Slowness(1) < 1.4 * before);
}

BOOST_AUTO_TEST_CASE(one_long_answer_says_little)
{
  Fleet fleet;
  fleet.Converge();
  double before = fleet.Slowness(1);
  fleet.Answer(1, 1'000);
  BOOST_TEST(fleet.Slowness(1) < 2 * before);
  fleet.m_now += 2s;
  BOOST_TEST(fleet.Slowness(1) < 1.3 * before);
}

BOOST_AUTO_TEST_CASE(what_was_learnt_is_forgotten)
{
  Fleet fleet;
  fleet.Converge();
  BOOST_TEST(fleet.Slowness(0) > 1.2);
  fleet.m_now += 10min;
  for (std::size_t i = 0; i < fleet.m_paces.size(); ++i) {
    BOOST_TEST(std::abs(std::log(fleet.Slowness(i))) < 0.05);
    BOOST_TEST(std::abs(std::log(fleet.m_paces[i].LimitFactor(fleet.m_now))) <
               0.05);
  }
}

BOOST_AUTO_TEST_CASE(an_upstream_that_lies_wins_and_loses_little)
{
  for (double told : { 0.0, 0.01, 0.2, 5.0, 100.0 }) {
    UpstreamPace pace;
    pace.OnLoad({ .m_requests = 0, .m_slowness = told }, 0, kStart);
    BOOST_TEST(pace.Slowness(kStart) <= 1.001 * kMaxToldFactor);
    BOOST_TEST(pace.Slowness(kStart) >= 0.999 / kMaxToldFactor);
    Fleet honest;
    honest.Converge();
    Fleet lied;
    lied.m_paces[1] = pace;
    for (int round = 0; round < 40; ++round) {
      lied.m_paces[1].OnLoad(
        { .m_requests = 0, .m_slowness = told }, 0, lied.m_now);
      lied.Converge(1);
    }
    // Its share of requests goes with the slowness to the power kSlownessCost.
    double factor = lied.Slowness(1) / honest.Slowness(1);
    BOOST_TEST(factor > 0.9);
    BOOST_TEST(factor < 1 / 0.9);
  }
}

BOOST_AUTO_TEST_CASE(a_lie_that_changes_moves_no_more_than_the_stated_factor)
{
  Fleet fleet;
  fleet.Converge();
  double before = fleet.Slowness(1);
  for (int i = 0; i < 100; ++i) {
    fleet.m_paces[1].OnLoad(
      { .m_requests = 0, .m_slowness = i % 10 == 9 ? 0.01 : 5 },
      0,
      fleet.m_now);
    BOOST_TEST(fleet.Slowness(1) <= 1.001 * kMaxToldFactor * before);
    BOOST_TEST(fleet.Slowness(1) >= 0.999 * before / kMaxToldFactor);
  }
}

BOOST_AUTO_TEST_CASE(
  what_an_upstream_tells_of_its_neighbours_counts_while_fresh)
{
  Fleet fleet;
  fleet.Converge();
  double before = fleet.Slowness(1);
  auto tell = [&](double aSlowness) {
    fleet.m_paces[1].OnLoad(
      { .m_requests = 0, .m_slowness = aSlowness }, 0, fleet.m_now);
  };
  for (int i = 0; i < 50; ++i) {
    tell(1);
  }
  tell(2.5);
  BOOST_TEST(fleet.Slowness(1) > 1.3 * before);
  fleet.m_now += 2s;
  BOOST_TEST(fleet.Slowness(1) < 1.1 * before);
}

BOOST_AUTO_TEST_CASE(the_limit_is_learnt_from_times_under_load)
{
  Fleet fleet;
  fleet.Converge();
  for (int round = 0; round < 100; ++round) {
    double load = 0.1 + 1.4 * UnitOf(fleet.m_random());
    // Upstream 1 serves half of what it is published for, upstream 4 as much,
    // upstream 7 much more.
    fleet.Answer(1, std::max(1.0, load / 0.5), load);
    fleet.Answer(4, std::max(1.0, load), load);
    fleet.Answer(7, 1, load);
    fleet.m_now += 100ms;
  }
  auto limit = [&](std::size_t aIndex) {
    return fleet.m_paces[aIndex].LimitFactor(fleet.m_now);
  };
  BOOST_TEST(limit(1) < 0.75);
  BOOST_TEST(limit(4) > 0.75);
  BOOST_TEST(limit(4) < 1.15);
  BOOST_TEST(limit(7) > 1.15);
}

BOOST_AUTO_TEST_CASE(own_requests_count_at_once_and_told_ones_fade)
{
  UpstreamPace pace;
  pace.OnLoad({ .m_requests = 8, .m_slowness = {} }, 1, kStart);
  BOOST_TEST(pace.Requests(1, kStart) == 8);
  BOOST_TEST(pace.Requests(4, kStart) == 11);
  BOOST_TEST(pace.Requests(1, kStart + 20s) < 1.1);
  BOOST_TEST(pace.Requests(20, kStart + 20s) >= 20);
}

BOOST_AUTO_TEST_CASE(state_is_small_and_values_stay_bounded)
{
  static_assert(sizeof(UpstreamPace) <= 64);
  ServicePace service;
  UpstreamPace pace;
  TimePoint now = kStart;
  constexpr std::array<Duration, 5> kTimes = { 0ms, 1ns, 1h, -1s, 20ms };
  std::mt19937_64 random(kSeed);
  for (int i = 0; i < 10'000; ++i) {
    double units = static_cast<double>(random() % 3) * 1e6;
    double load = static_cast<double>(random() % 1'000);
    service.OnWork(pace, units, kTimes.at(random() % 5), load, now);
    BOOST_TEST_REQUIRE(pace.Slowness(now) <= 1.001 * kMaxSlowness);
    BOOST_TEST_REQUIRE(pace.Slowness(now) >= 0.999 / kMaxSlowness);
    BOOST_TEST_REQUIRE(pace.LimitFactor(now) <= 1.001 * kMaxLimitFactor);
    BOOST_TEST_REQUIRE(pace.LimitFactor(now) >= 0.999 / kMaxLimitFactor);
    now += std::chrono::milliseconds(random() % 10'000);
  }
}
