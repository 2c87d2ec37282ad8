/// Tests of requests that crash engines after the first events of their
/// streams, and of requests that merely ran at engines that end.

#define BOOST_TEST_MODULE router_late_crashes
#include <boost/test/unit_test.hpp>

#include "router_crashes_fixture.h"

using namespace shallotford;
using namespace shallotford::test;

namespace {

constexpr int kAttempts = 12;
constexpr const char* kNewPart = "fee";

struct LateCrashes : CrashingEngines
{
  /// Lets an equal request come again and again. Returns how many attempts
  /// crash engines once three have crashed and each VM has had time to know it.
  int LateRetries(CrashPoint aPoint, const std::string& aPath = kBadTarget)
  {
    m_loop.Do([&] { m_point = aPoint; });
    int attempts = 0;
    for (; attempts < kAttempts && Crashes() < 3; ++attempts) {
      AskEqual(aPath);
    }
    std::this_thread::sleep_for(3s);
    int late = 0;
    for (; attempts < kAttempts; ++attempts) {
      std::size_t before = Crashes();
      AskEqual(aPath);
      late += Crashes() > before ? 1 : 0;
    }
    return late;
  }

  bool IsServed(const std::string& aPart)
  {
    return AskAt(AnyPort(), "/stream/x", aPart + ",01")
      .starts_with("HTTP/1.1 200 OK\r\n");
  }
};

} // namespace

// Crashes after a first event were no evidence: the request went on from engine
// to engine.
BOOST_FIXTURE_TEST_CASE(crashes_after_the_first_event_convict_an_equal_request,
                        LateCrashes)
{
  BOOST_TEST(LateRetries(CrashPoint::AfterFirstEvent) <= 3);
}

BOOST_FIXTURE_TEST_CASE(crashes_inside_a_later_event_convict_an_equal_request,
                        LateCrashes)
{
  BOOST_TEST(LateRetries(CrashPoint::InsideSecondEvent) <= 3);
}

BOOST_FIXTURE_TEST_CASE(crashes_long_after_the_first_event_convict_a_request,
                        LateCrashes)
{
  BOOST_TEST(LateRetries(CrashPoint::AfterLaterEvent) <= 3);
}

BOOST_FIXTURE_TEST_CASE(crashes_at_changing_points_convict_an_equal_request,
                        LateCrashes)
{
  m_takesTurns = true;
  BOOST_TEST(LateRetries(CrashPoint::AfterLaterEvent) <= 3);
}

BOOST_FIXTURE_TEST_CASE(a_stream_that_may_not_be_resumed_is_convicted_as_well,
                        LateCrashes)
{
  BOOST_TEST(LateRetries(CrashPoint::AfterLaterEvent, "/fixed/bad") <= 3);
}

// Unequal requests crashed engines after first events by a part that they
// share.
BOOST_FIXTURE_TEST_CASE(crashes_after_the_first_event_convict_a_part,
                        LateCrashes)
{
  m_loop.Do([this] { m_point = CrashPoint::AfterLaterEvent; });
  CrashFive();
  std::this_thread::sleep_for(3s);
  std::size_t before = SendsOfBadPart();
  for (int i = 0; i < 10; ++i) {
    AskBad(AnyPort());
  }
  BOOST_TEST(SendsOfBadPart() - before <= 3u);
}

// All traits of the streams at killed engines would be convicted if each broken
// stream counted like a run that never began.
BOOST_FIXTURE_TEST_CASE(a_part_at_engines_killed_at_once_is_served, LateCrashes)
{
  BeginHeld(12, kNewPart);
  KillEngines(6);
  BOOST_TEST(WaitForHeld(12));
  for (int i = 0; i < 6; ++i) {
    BOOST_TEST(IsServed(kNewPart));
  }
  BOOST_TEST(Convictions() == 0u);
}

// A request that many callers send is starting at several engines when they
// are killed.
BOOST_FIXTURE_TEST_CASE(a_popular_request_at_engines_killed_at_once_is_served,
                        LateCrashes)
{
  auto begin = [this] {
    auto caller = std::make_unique<RawSocket>(AnyPort());
    std::string id = "p" + std::to_string(++m_lastId);
    caller->Send(Request("/long/held", id, "same"));
    m_callers.push_back(std::move(caller));
  };
  for (int i = 0; i < 12; ++i) {
    begin();
  }
  BOOST_TEST_REQUIRE(WaitForHeld(12));
  GoOn(50ms); // first events have left
  KillEngines(6);
  begin();
  BOOST_TEST(WaitForHeld(13));
  BOOST_TEST(Convictions() == 0u);
}

// A stream that goes on shows that its part doesn't end engines.
BOOST_FIXTURE_TEST_CASE(a_part_is_served_if_streams_with_it_outlast_the_killed,
                        LateCrashes)
{
  BeginHeld(14, kNewPart);
  for (std::uint32_t i = 0; i < 2 * kConvictingLateCrashes; ++i) {
    GoOn(200ms);
    KillEngines(1);
  }
  GoOn(kRunStartTime + 2 * kSurvivalPeriod);
  for (int i = 0; i < 6; ++i) {
    BOOST_TEST(IsServed(kNewPart));
  }
}

// Whoever asks again for a stream that several killed engines carried in turn
// must not be refused.
BOOST_FIXTURE_TEST_CASE(a_stream_whose_engines_were_killed_in_turn_is_served,
                        LateCrashes)
{
  auto caller = std::make_unique<RawSocket>(Port());
  caller->Send(Request("/long/held", "first", "same"));
  for (std::uint32_t kills = 1; kills < kConvictingLateCrashes; ++kills) {
    BOOST_TEST_REQUIRE(WaitForHeld(1));
    GoOn(2 * kRunStartTime);
    KillEngines(1);
  }
  BOOST_TEST_REQUIRE(WaitForHeld(1));
  RawSocket again(m_other->Port());
  again.Send(Request("/long/held", "second", "same"));
  BOOST_TEST(WaitForHeld(2));
  BOOST_TEST(Convictions() == 0u);
}
