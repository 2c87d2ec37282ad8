/// Tests of the evidence of runs that had begun to answer when their engines
/// crashed.

#define BOOST_TEST_MODULE poison_late_evidence
#include <boost/test/unit_test.hpp>

#include "config.h"
#include "poison_fleet.h"
#include "shallotford/ledger.h"

#include <string>
#include <vector>

using namespace shallotford;
using Names = std::vector<std::string>;

namespace {

const TimePoint kStart{ 1000s };
constexpr std::uint64_t kSeeds = 120;
constexpr std::size_t kMaxDigest = 64u << 10;
constexpr std::uint32_t kEarly = 3;
constexpr std::uint32_t kLate = 5;

PoisonOptions
Options()
{
  return { .m_crashWindow = 0ms,
           .m_convictingCrashes = kEarly,
           .m_convictingLateCrashes = kLate };
}

std::string
Engine(std::uint32_t aNumber)
{
  return "e" + std::to_string(aNumber);
}

/// Engines crash one after the other, a second apart, under runs of an age.
/// @return the time of the last crash
TimePoint
CrashInTurn(PoisonTracker& aTracker,
            std::uint32_t aCrashes,
            const BegunTraits& aBegun)
{
  TimePoint now = kStart;
  for (std::uint32_t i = 0; i < aCrashes; ++i) {
    now += 1s;
    aTracker.OnCrash(Engine(i), {}, now, aBegun);
  }
  return now;
}

} // namespace

BOOST_AUTO_TEST_CASE(late_crashes_convict_once_there_are_more_of_them)
{
  PoisonTracker tracker(Options());
  TimePoint now = CrashInTurn(tracker, kLate - 1, { { "bad", { 300ms } } });
  BOOST_TEST(!tracker.IsConvicted({ "bad" }, now));
  BOOST_TEST(tracker.IsNamed("bad"));
  CrashVerdict verdict =
    tracker.OnCrash("last", {}, now + 1s, { { "bad", { 300ms } } });
  BOOST_TEST((verdict.m_convicted == Names{ "bad" }));
}

BOOST_AUTO_TEST_CASE(shares_of_early_and_late_crashes_add_up)
{
  PoisonTracker tracker(Options());
  tracker.OnCrash("e1", { "bad" }, kStart);
  tracker.OnCrash("e2", {}, kStart + 1s, { { "bad", { 0ms } } });
  tracker.OnCrash("e3", { "bad" }, kStart + 2s);
  BOOST_TEST(!tracker.IsConvicted({ "bad" }, kStart + 2s));
  tracker.OnCrash("e4", {}, kStart + 3s, { { "bad", { 0ms } } });
  BOOST_TEST(tracker.IsConvicted({ "bad" }, kStart + 3s));
}

// Engines that end together may have lost their host.
BOOST_AUTO_TEST_CASE(late_crashes_of_one_moment_count_once)
{
  PoisonTracker tracker(Options());
  for (std::uint32_t i = 0; i < 2 * kLate; ++i) {
    tracker.OnCrash(Engine(i), {}, kStart + i * 10ms, { { "near", { 1s } } });
  }
  BOOST_TEST(!tracker.IsConvicted({ "near" }, kStart + 1s));
}

BOOST_AUTO_TEST_CASE(a_crash_under_runs_of_both_kinds_counts_as_an_early_one)
{
  for (bool earlyFirst : { true, false }) {
    PoisonTracker tracker(Options());
    for (std::uint32_t i = 0; i < kEarly; ++i) {
      TimePoint now = kStart + i * 1s;
      tracker.OnCrash(Engine(i),
                      earlyFirst ? Names{ "bad" } : Names{},
                      now,
                      { { "bad", { 1s } } });
      if (!earlyFirst) {
        tracker.OnCrash(Engine(i), { "bad" }, now);
      }
    }
    BOOST_TEST(tracker.IsConvicted({ "bad" }, kStart + 9s));
  }
}

BOOST_AUTO_TEST_CASE(a_run_that_outlasts_the_crashed_ones_refutes_them)
{
  PoisonTracker tracker(Options());
  TimePoint now = CrashInTurn(tracker, kLate, { { "near", { 700ms } } });
  BOOST_TEST(tracker.IsConvicted({ "near" }, now));
  // A run of the same age may still end its engine.
  BOOST_TEST(tracker.OnRunGoesOn("near", 1'600ms, now));
  BOOST_TEST(tracker.IsConvicted({ "near" }, now));
  BOOST_TEST(tracker.OnRunGoesOn("near", 1'700ms, now));
  BOOST_TEST(!tracker.IsConvicted({ "near" }, now));
  BOOST_TEST(!tracker.IsNamed("near"));
  BOOST_TEST(!tracker.HasCrashed(Engine(0)));
}

BOOST_AUTO_TEST_CASE(a_known_run_refutes_crashes_under_younger_runs_only)
{
  PoisonTracker tracker(Options());
  tracker.OnRunGoesOn("near", 2s, kStart);
  BOOST_TEST(!tracker.OnRunGoesOn("near", 1s, kStart)); // nothing new
  CrashVerdict verdict =
    tracker.OnCrash("e1", { "near" }, kStart, { { "other", { 0ms } } });
  BOOST_TEST((verdict.m_outlived == TraitAges{ { "near", 2s } }));
  verdict = tracker.OnCrash("e2", {}, kStart, { { "near", { 1s } } });
  BOOST_TEST((verdict.m_outlived == TraitAges{ { "near", 2s } }));
  BOOST_TEST(!tracker.IsNamed("near"));
  verdict = tracker.OnCrash("e3", {}, kStart, { { "near", { 1'001ms } } });
  BOOST_TEST(verdict.m_outlived.empty());
  BOOST_TEST(tracker.IsNamed("near"));
}

BOOST_AUTO_TEST_CASE(a_run_that_goes_on_is_forgotten_like_a_whole_one)
{
  PoisonOptions options = Options();
  options.m_suspectLifetime = 60s;
  PoisonTracker tracker(options);
  tracker.OnRunGoesOn("near", 5s, kStart);
  CrashVerdict verdict = tracker.OnCrash("e1", { "near" }, kStart + 60s);
  BOOST_TEST(verdict.m_outlived.empty());
  BOOST_TEST(tracker.IsNamed("near"));
}

BOOST_AUTO_TEST_CASE(a_whole_request_is_convicted_and_not_its_parts)
{
  PoisonTracker tracker(Options());
  CrashInTurn(
    tracker, kEarly, { { "whole", { 249ms, true } }, { "part", { 249ms } } });
  BOOST_TEST((tracker.Convicted(kStart + 9s) == Names{ "whole" }));
}

BOOST_AUTO_TEST_CASE(a_whole_request_that_has_long_begun_needs_more_crashes)
{
  PoisonTracker tracker(Options());
  TimePoint now =
    CrashInTurn(tracker, kLate - 1, { { "whole", { 250ms, true } } });
  BOOST_TEST(!tracker.IsConvicted({ "whole" }, now));
}

// A popular request is starting at many engines when their host is lost.
BOOST_AUTO_TEST_CASE(crashes_of_one_moment_count_once_for_starting_requests)
{
  PoisonTracker tracker(Options());
  for (std::uint32_t i = 0; i < 2 * kEarly; ++i) {
    tracker.OnCrash(
      Engine(i), {}, kStart + i * 10ms, { { "whole", { 50ms, true } } });
  }
  BOOST_TEST(!tracker.IsConvicted({ "whole" }, kStart + 1s));
}

// Nobody could clear a part that all VMs refuse.
BOOST_AUTO_TEST_CASE(a_conviction_by_late_crashes_lapses_for_what_shares_a_part)
{
  PoisonTracker tracker(Options());
  const Names sharing{ "request", "part" };
  TimePoint now = CrashInTurn(tracker, kLate, { { "part", { 300ms } } });
  const TimePoint lapse = now + Options().m_lateConvictLifetime;
  BOOST_TEST((tracker.ConvictedFor(sharing, now) == lapse - now));
  BOOST_TEST(tracker.IsConvicted(sharing, lapse - 1ms));
  BOOST_TEST(!tracker.IsConvicted(sharing, lapse));
  BOOST_TEST(tracker.IsConvicted({ "part" }, lapse)); // an equal request
  // One more crash refuses it again, for longer.
  tracker.OnCrash("again", {}, lapse, { { "part", { 300ms } } });
  BOOST_TEST((tracker.ConvictedFor(sharing, lapse) ==
              2 * Options().m_lateConvictLifetime));
}

BOOST_AUTO_TEST_CASE(a_conviction_by_early_crashes_does_not_lapse)
{
  PoisonTracker tracker(Options());
  tracker.OnCrash("late", {}, kStart, { { "part", { 300ms } } });
  for (std::uint32_t i = 0; i < kEarly; ++i) {
    tracker.OnCrash(Engine(i), { "part" }, kStart);
  }
  BOOST_TEST((tracker.ConvictedFor({ "request", "part" }, kStart) ==
              Options().m_convictLifetime));
}

BOOST_AUTO_TEST_CASE(a_lapse_reaches_other_vms)
{
  PoisonTracker one(Options());
  PoisonTracker two(Options());
  TimePoint now = CrashInTurn(one, kLate, { { "part", { 300ms } } });
  two.Merge(one.Digest(kMaxDigest, now), now);
  const TimePoint lapse = now + Options().m_lateConvictLifetime;
  BOOST_TEST(two.IsConvicted({ "request", "part" }, lapse - 1ms));
  BOOST_TEST(!two.IsConvicted({ "request", "part" }, lapse));
  one.OnCrash("again", {}, lapse, { { "part", { 300ms } } });
  two.Merge(one.Digest(kMaxDigest, lapse), lapse);
  BOOST_TEST((two.ConvictedFor({ "request", "part" }, lapse) ==
              one.ConvictedFor({ "request", "part" }, lapse)));
}

BOOST_AUTO_TEST_CASE(calls_between_vms_carry_late_evidence)
{
  PoisonTracker tracker(Options());
  TimePoint now = kStart;
  auto serve = [&](const Json::Value& aCall) {
    return ReadSuspectReply(
      tracker.Serve(ParseJson(WriteJson(aCall)), kMaxDigest, now));
  };
  serve(SuspectCall::RunGoesOn("known", "e0", 3s));
  for (std::uint32_t i = 0; i < kLate; ++i) {
    now += 1s;
    SuspectReply reply = serve(SuspectCall::Crash(
      Engine(i), {}, { { "bad", { 300ms, true } }, { "known", { 100ms } } }));
    BOOST_TEST((reply.m_verdict.m_outlived == TraitAges{ { "known", 3s } }));
  }
  BOOST_TEST((tracker.Convicted(now) == Names{ "bad" }));
  serve(SuspectCall::RunGoesOn("bad", "any", 1'300ms));
  BOOST_TEST(tracker.Convicted(now).empty());
}

// While a fleet is upgraded, VMs of both programs report to each other.
BOOST_AUTO_TEST_CASE(calls_of_an_earlier_program_are_understood)
{
  PoisonTracker tracker(Options());
  for (std::uint32_t i = 0; i < kEarly; ++i) {
    tracker.Apply(ParseJson(R"({"call":"crash","engine":")" + Engine(i) +
                            R"(","batch":["bad"]})"),
                  kStart);
  }
  BOOST_TEST(tracker.IsConvicted({ "bad" }, kStart));
  tracker.Apply(ParseJson(R"({"call":"run_ended","engine":"any",)"
                          R"("request":"bad","complete":true})"),
                kStart);
  BOOST_TEST(!tracker.IsConvicted({ "bad" }, kStart));
  SuspectReply reply = ReadSuspectReply(ParseJson(R"({"digest":"{}"})"));
  BOOST_TEST(reply.m_verdict.m_outlived.empty());
}

BOOST_AUTO_TEST_CASE(malformed_late_evidence_changes_nothing)
{
  PoisonTracker tracker(Options());
  const std::string crash = R"({"call":"crash","engine":"e1","batch":["x"],)";
  const std::string goesOn =
    R"({"call":"run_ended","engine":"e","request":"x","complete":true,)";
  for (const std::string& bad : { crash + R"("begun":["x"]})",
                                  crash + R"("begun":{"x":-1}})",
                                  crash + R"("begun":{"x":"soon"}})",
                                  crash + R"("begun":{"x":1e300}})",
                                  crash + R"("begun":{"a+b":1}})",
                                  crash + R"("begun":{"":1}})",
                                  crash + R"("begun_whole":{"x":-1}})",
                                  goesOn + R"("age_ms":-1})",
                                  goesOn + R"("age_ms":99999999999})",
                                  goesOn + R"("age_ms":"old"})" }) {
    BOOST_CHECK_THROW(tracker.Apply(ParseJson(bad), kStart), Error);
  }
  BOOST_TEST(!tracker.HasCrashed("e1"));
  BOOST_TEST(!tracker.IsNamed("x"));
  BOOST_TEST(!tracker.OnCrash("e2", { "x" }, kStart).m_outlived.contains("x"));
}

BOOST_AUTO_TEST_CASE(late_evidence_is_bounded)
{
  PoisonOptions options = Options();
  options.m_maxBatch = 4;
  PoisonTracker tracker(options);
  BegunTraits begun;
  for (int i = 0; i < 100; ++i) {
    begun["t" + std::to_string(i)] = { 1s };
  }
  tracker.OnCrash("e1", { "a", "b", "c" }, kStart, begun);
  tracker.OnCrash("e1", { "d", "e" }, kStart, begun);
  int named = 0;
  for (const auto& [trait, run] : begun) {
    named += tracker.IsNamed(trait) ? 1 : 0;
  }
  BOOST_TEST(named == 1);
  BOOST_TEST(!tracker.IsNamed("d"));
}

// Poison crashes engines after its first events, and engines are killed
// together while sound streams are at work.
BOOST_AUTO_TEST_CASE(late_poison_keeps_crashing_or_sound_traffic_is_refused)
{
  FleetFigures worst;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      FleetFigures figures = PoisonFleet(seed, true).Run();
      BOOST_TEST(figures.m_crashes > 0);
      BOOST_TEST(figures.m_poisonSentLate <= 3);
      BOOST_TEST(figures.m_sharedPassed > 0);
      BOOST_TEST(2 * figures.m_sharedRefused <= figures.m_sharedPassed);
      BOOST_TEST(figures.m_refusedAtEnd == 0);
      worst.Worsen(figures);
    }
  }
  BOOST_TEST_MESSAGE("worst of " << kSeeds << " seeds: " << worst.Text());
}
