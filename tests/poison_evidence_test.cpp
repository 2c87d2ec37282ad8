/// Tests of the conviction of prompt parts from crashes that all VMs share.

#define BOOST_TEST_MODULE poison_evidence
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

PoisonOptions
After(std::uint32_t aCrashes)
{
  return { .m_crashWindow = 0ms, .m_convictingCrashes = aCrashes };
}

/// Three crashes that share the first part and the one that crashes.
void
CrashWithSharedFirstPart(PoisonTracker& aTracker, TimePoint aNow = kStart)
{
  aTracker.OnCrash("e1", { "first", "bad", "a" }, aNow);
  aTracker.OnCrash("e2", { "first", "bad", "b" }, aNow);
  aTracker.OnCrash("e3", { "first", "bad", "c" }, aNow);
}

void
Gossip(const PoisonTracker& aFrom, PoisonTracker& aTo, TimePoint aNow = kStart)
{
  aTo.Merge(aFrom.Digest(kMaxDigest, aNow), aNow);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_part_that_crashes_is_convicted_though_no_request_repeats)
{
  PoisonTracker tracker(After(3));
  BOOST_TEST(tracker.OnCrash("e1", { "bad", "a" }, kStart).m_convicted.empty());
  BOOST_TEST(tracker.OnCrash("e2", { "b", "bad" }, kStart).m_convicted.empty());
  BOOST_TEST(!tracker.IsConvicted({ "bad", "x" }, kStart));
  CrashVerdict verdict = tracker.OnCrash("e3", { "c", "bad" }, kStart);
  BOOST_TEST((verdict.m_convicted == Names{ "bad" }));
  BOOST_TEST(tracker.IsConvicted({ "x", "bad" }, kStart));
  BOOST_TEST(!tracker.IsConvicted({ "a", "b", "c" }, kStart));
}

BOOST_AUTO_TEST_CASE(no_request_is_isolated_while_evidence_is_gathered)
{
  PoisonTracker tracker(After(2));
  tracker.OnCrash("e1", { "bad", "a" }, kStart);
  BOOST_TEST(tracker.MayPlace("a", "e2", kStart));
  BOOST_TEST(tracker.Grant("a", "e2", kStart));
  BOOST_TEST(tracker.Grant("bad", "e2", kStart));
  Json::Value call = SuspectCall::Grant("a", "e3");
  BOOST_TEST(
    ReadSuspectReply(tracker.Serve(call, kMaxDigest, kStart)).m_granted);
  tracker.OnCrash("e2", { "bad", "b" }, kStart);
  BOOST_TEST(!tracker.Grant("bad", "e3", kStart));
  BOOST_TEST(tracker.Grant("b", "e3", kStart));
}

BOOST_AUTO_TEST_CASE(reports_of_one_crash_by_several_vms_count_once)
{
  PoisonTracker tracker(After(2));
  tracker.OnCrash("e1", { "a" }, kStart);
  tracker.OnCrash("e1", { "a", "b" }, kStart + 10s);
  BOOST_TEST(tracker.Convicted(kStart + 10s).empty());
  // The batch is the union of the reports.
  tracker.OnCrash("e2", { "b" }, kStart + 10s);
  BOOST_TEST((tracker.Convicted(kStart + 10s) == Names{ "b" }));
}

BOOST_AUTO_TEST_CASE(
  a_shared_first_part_is_not_convicted_with_the_part_that_crashes)
{
  PoisonTracker tracker(After(3));
  CrashWithSharedFirstPart(tracker);
  BOOST_TEST((tracker.Convicted(kStart) == Names{ "bad+first" }));
  BOOST_TEST(tracker.IsConvicted({ "first", "bad", "x" }, kStart));
  BOOST_TEST(!tracker.IsConvicted({ "first", "x" }, kStart));
  BOOST_TEST(!tracker.IsConvicted({ "bad", "x" }, kStart));
  // A sound request with the first part ends whole.
  tracker.OnRunEnded("first", "e4", true, kStart + 1s);
  BOOST_TEST((tracker.Convicted(kStart + 1s) == Names{ "bad" }));
  BOOST_TEST(tracker.IsConvicted({ "bad", "x" }, kStart + 1s));
}

BOOST_AUTO_TEST_CASE(a_broken_run_does_not_clear_its_parts)
{
  PoisonTracker tracker(After(3));
  CrashWithSharedFirstPart(tracker);
  tracker.OnRunEnded("bad", "e4", false, kStart);
  BOOST_TEST(tracker.IsConvicted({ "first", "bad" }, kStart));
}

BOOST_AUTO_TEST_CASE(parts_known_to_be_sound_are_not_blamed_for_later_crashes)
{
  PoisonTracker tracker({ .m_suspectLifetime = 60s, .m_convictingCrashes = 2 });
  tracker.OnRunEnded("first", "e0", true, kStart);
  CrashVerdict verdict =
    tracker.OnCrash("e1", { "first", "first" }, kStart + 59s);
  BOOST_TEST((verdict.m_sound == Names{ "first" }));
  BOOST_TEST(!tracker.IsNamed("first"));
  BOOST_TEST(!tracker.HasCrashed("e1"));
  // A part can become harmful, so soundness ends.
  verdict = tracker.OnCrash("e2", { "first" }, kStart + 60s);
  BOOST_TEST(verdict.m_sound.empty());
  BOOST_TEST(tracker.IsNamed("first"));
}

BOOST_AUTO_TEST_CASE(an_innocent_request_retried_from_crash_to_crash_is_cleared)
{
  PoisonTracker tracker(After(2));
  tracker.OnCrash("e1", { "bad", "innocent", "a" }, kStart);
  tracker.OnCrash("e2", { "bad", "innocent", "b" }, kStart);
  BOOST_TEST(!tracker.IsConvicted({ "innocent", "c" }, kStart));
  // A crash without it shows which of the two explains all.
  tracker.OnCrash("e3", { "bad", "c" }, kStart + 1s);
  BOOST_TEST((tracker.Convicted(kStart + 1s) == Names{ "bad" }));
  BOOST_TEST(!tracker.IsConvicted({ "innocent" }, kStart + 1s));
}

BOOST_AUTO_TEST_CASE(traits_that_only_ran_at_explained_crashes_are_not_blamed)
{
  PoisonTracker tracker(After(2));
  for (const char* engine : { "e1", "e2", "e3" }) {
    tracker.OnCrash(engine, { "bad", "near" }, kStart);
  }
  tracker.OnCrash("e4", { "bad" }, kStart);
  tracker.OnCrash("e5", { "near" }, kStart);
  BOOST_TEST((tracker.Convicted(kStart) == Names{ "bad" }));
}

BOOST_AUTO_TEST_CASE(two_causes_at_once_are_both_convicted)
{
  PoisonTracker tracker(After(2));
  for (const char* engine : { "e1", "e2", "e3" }) {
    tracker.OnCrash(engine, { "one", std::string("x") + engine }, kStart);
  }
  for (const char* engine : { "e4", "e5" }) {
    tracker.OnCrash(engine, { "two", std::string("x") + engine }, kStart);
  }
  BOOST_TEST((tracker.Convicted(kStart) == Names{ "one", "two" }));
}

BOOST_AUTO_TEST_CASE(reset_connections_convict_nobody_once_the_engines_answer)
{
  PoisonTracker tracker(After(3));
  for (const char* engine : { "e1", "e2", "e3", "e4" }) {
    tracker.OnCrash(engine, { "first", std::string("x") + engine }, kStart);
  }
  BOOST_TEST(tracker.IsConvicted({ "first" }, kStart));
  for (const char* engine : { "e1", "e2", "e3", "e4" }) {
    BOOST_TEST(tracker.HasCrashed(engine));
    tracker.OnEngineAlive(engine, kStart + 1s);
    BOOST_TEST(!tracker.HasCrashed(engine));
  }
  BOOST_TEST(!tracker.IsConvicted({ "first" }, kStart + 1s));
  BOOST_TEST(tracker.Convicted(kStart + 1s).empty());
}

BOOST_AUTO_TEST_CASE(a_conviction_withdrawn_at_once_comes_back_from_a_slower_vm)
{
  PoisonOptions options{ .m_crashWindow = 2s, .m_convictingCrashes = 2 };
  PoisonTracker quick(options);
  PoisonTracker slow(options);
  for (const char* engine : { "e1", "e2", "e3", "e4" }) {
    slow.OnCrash(engine, { "a" }, kStart);
  }
  quick.OnCrash("e1", { "a" }, kStart);
  quick.OnCrash("e2", { "a" }, kStart);
  quick.OnEngineAlive("e1", kStart + 1s);
  Gossip(slow, quick, kStart + 1s);
  BOOST_TEST(!quick.IsConvicted({ "a" }, kStart + 1s));
  // One that stays reaches the VMs that missed the reports.
  Gossip(slow, quick, kStart + 2s);
  BOOST_TEST(quick.IsConvicted({ "a" }, kStart + 2s));
}

BOOST_AUTO_TEST_CASE(an_engine_that_answers_withdraws_only_what_it_supported)
{
  PoisonTracker tracker(After(2));
  tracker.OnCrash("e1", { "bad", "a" }, kStart);
  tracker.OnCrash("e2", { "bad", "b" }, kStart);
  tracker.OnCrash("e3", { "c" }, kStart);
  tracker.OnCrash("e4", { "c" }, kStart);
  tracker.OnEngineAlive("e4", kStart);
  tracker.OnEngineAlive("unknown", kStart);
  BOOST_TEST((tracker.Convicted(kStart) == Names{ "bad" }));
}

BOOST_AUTO_TEST_CASE(a_conviction_outlives_its_evidence_and_then_ends)
{
  PoisonTracker tracker({ .m_suspectLifetime = 60s,
                          .m_convictLifetime = 600s,
                          .m_convictingCrashes = 2 });
  tracker.OnCrash("e1", { "bad", "a" }, kStart);
  tracker.OnCrash("e2", { "bad", "b" }, kStart);
  tracker.OnCrash("e3", { "bad", "c" }, kStart + 30s);
  tracker.Expire(kStart + 100s);
  BOOST_TEST(!tracker.HasCrashed("e3"));
  // Unrelated evidence and late answers don't withdraw it.
  tracker.OnCrash("e4", { "z" }, kStart + 100s);
  tracker.OnEngineAlive("e4", kStart + 101s);
  BOOST_TEST(tracker.IsConvicted({ "bad" }, kStart + 629s));
  BOOST_TEST(!tracker.IsConvicted({ "bad" }, kStart + 630s));
  tracker.Expire(kStart + 630s);
  BOOST_TEST(tracker.Size() == 0u);
}

BOOST_AUTO_TEST_CASE(old_crashes_do_not_add_up_to_a_conviction)
{
  PoisonTracker tracker({ .m_suspectLifetime = 60s, .m_convictingCrashes = 2 });
  tracker.OnCrash("e1", { "a" }, kStart);
  tracker.OnCrash("e2", { "a" }, kStart + 60s);
  BOOST_TEST(tracker.Convicted(kStart + 60s).empty());
}

BOOST_AUTO_TEST_CASE(a_joint_conviction_and_its_withdrawal_reach_other_vms)
{
  PoisonTracker one(After(3));
  PoisonTracker two(After(3));
  PoisonTracker late(After(3));
  CrashWithSharedFirstPart(one);
  std::string before = one.Digest(kMaxDigest, kStart);
  two.Merge(before, kStart);
  BOOST_TEST(two.IsConvicted({ "bad", "first" }, kStart));
  BOOST_TEST(!two.IsConvicted({ "first" }, kStart));
  BOOST_TEST(two.IsNamed("first"));
  one.OnRunEnded("first", "e4", true, kStart);
  one.OnRunEnded("bad", "e4", true, kStart);
  Gossip(one, two);
  BOOST_TEST(two.Convicted(kStart).empty());
  // An older digest doesn't bring it back, in any order.
  two.Merge(before, kStart);
  BOOST_TEST(two.Convicted(kStart).empty());
  late.Merge(before, kStart);
  Gossip(two, late);
  BOOST_TEST(late.Convicted(kStart).empty());
  Gossip(late, one);
  BOOST_TEST(one.Convicted(kStart).empty());
}

BOOST_AUTO_TEST_CASE(another_vms_conviction_of_a_sound_part_is_refuted)
{
  PoisonTracker one(After(3));
  PoisonTracker two(After(3));
  CrashWithSharedFirstPart(one);
  two.OnRunEnded("first", "e4", true, kStart);
  Gossip(one, two);
  BOOST_TEST(!two.IsConvicted({ "bad", "first" }, kStart));
  Gossip(two, one);
  BOOST_TEST(!one.IsConvicted({ "bad", "first" }, kStart));
  // Another crash supports it again, and is refuted again.
  one.OnCrash("e5", { "first", "bad", "d" }, kStart);
  BOOST_TEST(one.IsConvicted({ "bad", "first" }, kStart));
  Gossip(one, two);
  Gossip(two, one);
  BOOST_TEST(!one.IsConvicted({ "bad", "first" }, kStart));
}

BOOST_AUTO_TEST_CASE(a_withdrawal_by_another_vm_stands_until_a_further_crash)
{
  PoisonTracker one(After(2));
  PoisonTracker two(After(2));
  for (PoisonTracker* vm : { &one, &two }) {
    vm->OnCrash("e1", { "a" }, kStart);
    vm->OnCrash("e2", { "a" }, kStart);
  }
  one.OnEngineAlive("e2", kStart);
  Gossip(one, two);
  BOOST_TEST(!two.IsConvicted({ "a" }, kStart));
  two.OnCrash("e9", { "z" }, kStart);
  BOOST_TEST(!two.IsConvicted({ "a" }, kStart));
  two.OnCrash("e3", { "a" }, kStart);
  BOOST_TEST(two.IsConvicted({ "a" }, kStart));
}

BOOST_AUTO_TEST_CASE(a_conviction_still_wins_over_a_higher_version_in_isolation)
{
  PoisonTracker one(PoisonOptions{});
  one.Convict("a", kStart);
  one.Merge(
    R"({"entries":[{"request":"a","status":"clear","version":9,"left_ms":99}]})",
    kStart);
  BOOST_TEST((one.StatusOf("a", kStart) == PoisonStatus::Convicted));
}

BOOST_AUTO_TEST_CASE(calls_between_vms_carry_all_evidence)
{
  PoisonTracker tracker(After(2));
  auto serve = [&tracker](const Json::Value& aCall) {
    return ReadSuspectReply(
      tracker.Serve(ParseJson(WriteJson(aCall)), kMaxDigest, kStart));
  };
  serve(SuspectCall::RunEnded("good", "e0", true));
  SuspectReply reply = serve(SuspectCall::Crash("e1", { "bad", "good" }));
  BOOST_TEST((reply.m_verdict.m_sound == Names{ "good" }));
  reply = serve(SuspectCall::Crash("e2", { "bad", "x" }));
  BOOST_TEST((reply.m_verdict.m_convicted == Names{ "bad" }));
  PoisonTracker caller(After(2));
  caller.Merge(reply.m_digest, kStart);
  BOOST_TEST(caller.IsConvicted({ "bad" }, kStart));
  reply = serve(SuspectCall::EngineAlive("e2"));
  BOOST_TEST(!tracker.HasCrashed("e2"));
  caller.Merge(reply.m_digest, kStart);
  BOOST_TEST(!caller.IsConvicted({ "bad" }, kStart));
}

BOOST_AUTO_TEST_CASE(malformed_evidence_changes_nothing)
{
  PoisonTracker tracker(After(2));
  CrashWithSharedFirstPart(tracker);
  const std::string before = tracker.Digest(kMaxDigest, kStart);
  const std::string huge(10'000, 'a');
  std::string joint = "a";
  for (int i = 0; i < 100; ++i) {
    joint += "+a";
  }
  for (const std::string& bad :
       { std::string("[]"),
         std::string(R"({"call":"engine_alive"})"),
         std::string(R"({"call":"engine_alive","engine":["e1"]})"),
         std::string(R"({"call":"crash","engine":"e9"})"),
         std::string(R"({"call":"crash","engine":"e9","batch":["x",""]})"),
         std::string(R"({"call":"crash","engine":"e9","batch":["x","y+z"]})"),
         R"({"call":"crash","engine":"e9","batch":["x",")" + huge + "\"]}",
         R"({"call":"crash","engine":")" + huge + R"(","batch":["x"]})",
         std::string(R"({"call":"run_ended","engine":"e","request":"bad"})"),
         std::string(R"({"call":"run_ended","engine":"e","complete":true,)"
                     R"("request":"bad+first"})") }) {
    BOOST_CHECK_THROW(tracker.Serve(ParseJson(bad), kMaxDigest, kStart), Error);
  }
  for (const std::string& key :
       { std::string("a+"), std::string("+a"), huge, joint }) {
    std::string row = R"(","status":"convicted","version":9,"left_ms":99})";
    std::string digest = R"({"entries":[{"request":"g)" + row;
    digest.append(R"(,{"request":")").append(key).append(row).append("]}");
    BOOST_CHECK_THROW(tracker.Merge(digest, kStart), Error);
  }
  BOOST_TEST(tracker.Digest(kMaxDigest, kStart) == before);
  BOOST_TEST(!tracker.HasCrashed("e9"));
  BOOST_TEST(!tracker.IsNamed("x"));
  BOOST_TEST(tracker.HasCrashed("e1"));
}

BOOST_AUTO_TEST_CASE(evidence_of_a_flood_of_reports_is_bounded)
{
  PoisonTracker tracker({ .m_maxEntries = 20,
                          .m_convictingCrashes = 2,
                          .m_maxCrashes = 10,
                          .m_maxBatch = 8,
                          .m_maxSound = 5,
                          .m_maxJoint = 3 });
  for (int i = 0; i < 100; ++i) {
    std::string n = std::to_string(i);
    TimePoint now = kStart + std::chrono::milliseconds(i);
    tracker.OnRunEnded("s" + n, "e0", true, now);
    Names batch{ "0a", "0b", "0c", "0d" };
    for (int k = 0; k < 100; ++k) {
      batch.push_back("t" + n + "." + std::to_string(k));
    }
    tracker.OnCrash("e" + n, batch, now);
    tracker.OnCrash("f" + n, { "u" + n }, now);
    tracker.OnCrash("g" + n, { "u" + n }, now);
  }
  TimePoint now = kStart + 1s;
  int crashes = 0;
  int sound = 0;
  for (int i = 0; i < 100; ++i) {
    std::string n = std::to_string(i);
    for (const char* engine : { "e", "f", "g" }) {
      crashes += tracker.HasCrashed(engine + n) ? 1 : 0;
    }
    CrashVerdict verdict =
      PoisonTracker(tracker).OnCrash("h", { "s" + n }, now);
    sound += verdict.m_sound.empty() ? 0 : 1;
  }
  BOOST_TEST(crashes == 10);
  BOOST_TEST(sound == 5);
  BOOST_TEST(tracker.HasCrashed("g99"));
  BOOST_TEST(!tracker.IsNamed("t99.90"));
  BOOST_TEST(tracker.Size() <= 20u);
  BOOST_TEST(tracker.IsConvicted({ "u99" }, now));
  BOOST_TEST(tracker.IsConvicted({ "0a", "0b", "0c" }, now));
  BOOST_TEST(!tracker.IsConvicted({ "0a", "0b" }, now));
}

BOOST_AUTO_TEST_CASE(poison_keeps_crashing_a_fleet_or_sound_traffic_is_refused)
{
  FleetFigures worst;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      FleetFigures figures = PoisonFleet(seed).Run();
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
