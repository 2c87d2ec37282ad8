/// Loads above engines' memory, and what callers of each urgency get.

#define BOOST_TEST_MODULE admission
#include <boost/test/unit_test.hpp>

#include "shallotford/admission.h"

#include <array>
#include <map>
#include <random>

using namespace shallotford;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{};
constexpr std::size_t kUrgencies = 3;
/// Share of the requests and time until which memory is on time, by urgency,
/// from the users' sheets.
constexpr std::array<double, kUrgencies> kShares{ 0.24, 0.33, 0.43 };
constexpr std::array<std::chrono::milliseconds, kUrgencies> kOnTime{ 550ms,
                                                                     750ms,
                                                                     1'750ms };
constexpr auto kPatience = 3'350ms;
constexpr int kPlaces = 60;
constexpr auto kServiceTime = 3s;

/// What the callers of one urgency got.
struct Outcome
{
  double m_sent{ 0 };
  double m_onTime{ 0 };
  double m_late{ 0 };
  double m_expired{ 0 }; ///< in the queue, when they left
  double m_refused{ 0 }; ///< at once

  double OnTimeShare() const { return m_onTime / m_sent; }
  double ServedShare() const { return (m_onTime + m_late) / m_sent; }
};
using Outcomes = std::array<Outcome, kUrgencies>;

/// Requests that come at aLoad of what kPlaces serve, for a minute.
/// @param aByUrgency  the queue knows their urgency
/// @param aRefuses    by a forecast
Outcomes
Play(double aLoad, bool aByUrgency, bool aRefuses = false)
{
  MemoryForecast forecast;
  std::mt19937_64 random(3);
  MemoryQueue queue;
  Outcomes outcomes;
  struct Sent
  {
    std::size_t m_urgency;
    TimePoint m_onTimeUntil;
  };
  std::map<std::uint64_t, Sent> sent;
  std::vector<TimePoint> busyUntil(kPlaces, kStart);
  double perTurn = aLoad * kPlaces / 3 / 100;
  std::uint64_t id = 0;
  for (TimePoint now = kStart; now < kStart + 60s; now += 10ms) {
    auto arrivals = std::poisson_distribution<>(perTurn)(random);
    for (int i = 0; i < arrivals; ++i) {
      std::size_t urgency = std::discrete_distribution<std::size_t>(
        kShares.begin(), kShares.end())(random);
      ++outcomes[urgency].m_sent;
      WaitingRequest request{
        .m_id = ++id,
        .m_onTimeUntil = now + kOnTime[urgency],
        .m_giveUpAt = now + kPatience,
        .m_urgency = aByUrgency ? static_cast<std::int32_t>(urgency) : 0,
        .m_since = now
      };
      if (aRefuses && forecast.Excess(queue, request, now)) {
        ++outcomes[urgency].m_refused;
        continue;
      }
      sent[id] = { urgency, request.m_onTimeUntil };
      forecast.OnWait(queue, now);
      queue.Add(request);
    }
    for (std::uint64_t expired : queue.TakeExpired(now)) {
      ++outcomes[sent.at(expired).m_urgency].m_expired;
    }
    for (TimePoint& until : busyUntil) {
      if (until > now) {
        continue;
      }
      auto turn = queue.Take(now);
      if (!turn) {
        break;
      }
      const Sent& request = sent.at(turn->m_id);
      Outcome& outcome = outcomes[request.m_urgency];
      bool isLate = now > request.m_onTimeUntil;
      ++(isLate ? outcome.m_late : outcome.m_onTime);
      std::int32_t urgency =
        aByUrgency ? static_cast<std::int32_t>(request.m_urgency) : 0;
      queue.OnGrant(urgency);
      bool waited = now != request.m_onTimeUntil - kOnTime[request.m_urgency];
      forecast.OnGrant({ now, urgency, isLate, waited });
      until = now + kServiceTime;
    }
  }
  return outcomes;
}

/// Returns the share of all requests that aCount counts.
double
Share(const Outcomes& aOutcomes, double Outcome::*aCount)
{
  double sent = 0;
  double counted = 0;
  for (const Outcome& outcome : aOutcomes) {
    sent += outcome.m_sent;
    counted += outcome.*aCount;
  }
  return counted / sent;
}

double
MeanServed(const Outcomes& aOutcomes)
{
  return Share(aOutcomes, &Outcome::m_onTime) +
         Share(aOutcomes, &Outcome::m_late);
}

} // namespace

BOOST_AUTO_TEST_CASE(the_most_urgent_go_first_and_none_starves)
{
  for (double load : { 1.1, 1.3, 1.6, 2.5 }) {
    Outcomes without = Play(load, false);
    Outcomes with = Play(load, true);
    BOOST_TEST_CONTEXT("load " << load)
    {
      BOOST_TEST(with[0].OnTimeShare() > with[1].OnTimeShare());
      BOOST_TEST(with[1].OnTimeShare() > with[2].OnTimeShare());
      BOOST_TEST(with[0].OnTimeShare() > without[0].OnTimeShare() + 0.05);
      BOOST_TEST(MeanServed(with) > MeanServed(without) - 0.02);
      for (const Outcome& outcome : with) {
        BOOST_TEST(outcome.ServedShare() > 0.25 * MeanServed(with));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(an_owed_request_without_room_holds_nobody_up)
{
  MemoryQueue queue;
  queue.Add({ 1, kStart + 1s, kStart + 3s, 0, kStart });
  queue.Add({ 2, kStart + 1s, kStart + 3s, 2, kStart });
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(!queue.HasTimely(kStart, -1));
    queue.OnGrant(0);
  }
  BOOST_TEST(queue.HasTimely(kStart, 0));
  MemoryTurn turn = *queue.Take(kStart);
  BOOST_TEST(turn.m_id == 2U);
  BOOST_TEST(turn.m_isOwed);
  queue.Add({ 2, kStart + 1s, kStart + 3s, 2, kStart });
  BOOST_TEST(queue.Take(kStart)->m_id == 1U);
  queue.OnGrant(0);
  BOOST_TEST(queue.Take(kStart)->m_id == 2U);
}

BOOST_AUTO_TEST_CASE(a_new_request_waits_only_behind_as_urgent_ones)
{
  MemoryQueue queue;
  queue.Add({ 1, kStart + 1s, kStart + 3s, 1, kStart });
  BOOST_TEST(!queue.HasTimely(kStart, 0));
  BOOST_TEST(queue.HasTimely(kStart, 1));
  BOOST_TEST(queue.HasTimely(kStart, 2));
  BOOST_TEST(!queue.HasTimely(kStart + 2s, 2));
}

BOOST_AUTO_TEST_CASE(few_wait_in_vain_and_as_many_are_served)
{
  for (bool byUrgency : { false, true }) {
    for (double load : { 0.9, 1.1, 1.3, 1.6, 2.5 }) {
      Outcomes held = Play(load, byUrgency, false);
      Outcomes told = Play(load, byUrgency, true);
      BOOST_TEST_CONTEXT("load " << load << " by urgency " << byUrgency)
      {
        double expired = Share(told, &Outcome::m_expired);
        BOOST_TEST(expired <= 0.6 * Share(held, &Outcome::m_expired));
        BOOST_TEST(MeanServed(told) > MeanServed(held) - 0.02);
        if (byUrgency) {
          BOOST_TEST(told[0].OnTimeShare() > held[0].OnTimeShare() - 0.01);
          BOOST_TEST(told[0].m_refused == 0);
        }
        for (const Outcome& outcome : told) {
          BOOST_TEST(outcome.ServedShare() > 0.25 * MeanServed(told));
          // Below the engines' limits nobody is refused.
          BOOST_TEST((load > 1 || outcome.m_refused == 0));
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(nobody_is_refused_while_little_is_known)
{
  MemoryQueue queue;
  MemoryForecast forecast;
  WaitingRequest request{ 9, kStart + 1s, kStart + 3s, 1, kStart };
  BOOST_TEST(!forecast.Excess(queue, request, kStart));
  for (std::uint64_t id = 1; id <= 8; ++id) {
    forecast.OnWait(queue, kStart);
    queue.Add({ id, kStart + 1s, kStart + 3s, 1, kStart });
  }
  TimePoint now = kStart + 900ms;
  BOOST_TEST(!forecast.Excess(queue, request, now));
  now = kStart + 1'500ms;
  BOOST_TEST(forecast.Excess(queue, request, now).has_value());
  // A more urgent one has nobody before it, and a place without a wait shows
  // that there is room.
  request.m_urgency = 0;
  BOOST_TEST(!forecast.Excess(queue, request, now));
  request.m_urgency = 1;
  forecast.OnGrant({ now, 0, false, false });
  BOOST_TEST(forecast.Excess(queue, request, now).has_value());
  forecast.OnGrant({ now, 1, false, false });
  BOOST_TEST(!forecast.Excess(queue, request, now + 400ms));
}
