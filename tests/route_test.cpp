/// Tests of routing decisions: routes, the choice of upstreams, the steps of a
/// request, retry budgets, the queue for engine memory, directories and peers.

#define BOOST_TEST_MODULE route
#include <boost/test/unit_test.hpp>

#include "config.h"
#include "shallotford/admission.h"
#include "shallotford/directory.h"
#include "shallotford/vms.h"

#include <rapidcheck.h>

using namespace shallotford;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 100s };

Route
MakeRoute(const std::string& aName,
          const std::string& aHost,
          const std::string& aPrefix)
{
  Route route;
  route.m_name = aName;
  route.m_host = aHost;
  route.m_pathPrefix = aPrefix;
  route.m_targets = { { .m_service = "s" } };
  return route;
}

UpstreamEntry
MakeEntry(const std::string& aId,
          const std::string& aDomain,
          std::uint64_t aStartedMs = 1)
{
  return { .m_key = { .m_id = aId, .m_startedMs = aStartedMs },
           .m_service = "s",
           .m_address = "10.0.0.1:80",
           .m_failureDomain = aDomain,
           .m_slots = 4 };
}

Location
ThreeDomains()
{
  return { .m_failureDomain = "a1",
           .m_regions = { { "a1", "a" }, { "a2", "a" }, { "b1", "b" } } };
}

std::string
PickId(const UpstreamTable& aTable, TimePoint aNow, PickRequest aRequest = {})
{
  aRequest.m_service = "s";
  UpstreamPtr upstream = aTable.Pick(aRequest, aNow);
  return upstream == nullptr ? "" : upstream->m_entry.m_key.m_id;
}

} // namespace

// ---------------------------------------------------------------- routes

BOOST_AUTO_TEST_CASE(longest_prefix_of_the_host_wins)
{
  auto text = std::make_shared<RoutingConfig>();
  text->m_routes = { MakeRoute("short", "x.example", "/a/"),
                     MakeRoute("long", "x.example", "/a/b/"),
                     MakeRoute("other", "y.example", "/a/b/c/") };
  RouteTable table(text);
  BOOST_TEST(table.Find("x.example", "/a/b/c")->m_name == "long");
  BOOST_TEST(table.Find("X.Example:80", "/a/x?q=/a/b/")->m_name == "short");
  BOOST_TEST(table.Find("x.example", "/a") == nullptr);
  BOOST_TEST(table.Find("z.example", "/a/b") == nullptr);
}

BOOST_AUTO_TEST_CASE(traffic_split_follows_the_weights_of_targets)
{
  Route route = MakeRoute("r", "h", "/");
  route.m_targets = { { .m_service = "most", .m_weight = 90 },
                      { .m_service = "few", .m_weight = 10 },
                      { .m_service = "none", .m_weight = 0 } };
  std::map<std::string, int> counts;
  for (std::uint64_t i = 0; i < 10'000; ++i) {
    ++counts[ChooseTarget(route, StableHash(std::to_string(i)))];
  }
  BOOST_TEST(counts["few"] > 850);
  BOOST_TEST(counts["few"] < 1'150);
  BOOST_TEST(counts["none"] == 0);
}

// ------------------------------------------------------------- upstreams

BOOST_AUTO_TEST_CASE(near_upstreams_are_preferred_until_they_are_busy)
{
  UpstreamTable table(ThreeDomains());
  table.Put(MakeEntry("near", "a1"));
  table.Put(MakeEntry("region", "a2"));
  table.Put(MakeEntry("far", "b1"));
  BOOST_TEST(PickId(table, kStart) == "near");
  UpstreamPtr near = table.Find({ "near", 1 });
  near->m_health.OnStart(kStart);
  BOOST_TEST(PickId(table, kStart) == "region");
  BOOST_TEST(PickId(table, kStart, { .m_fromDomain = "b1" }) == "far");
}

BOOST_AUTO_TEST_CASE(a_draining_upstream_never_becomes_ready_again)
{
  UpstreamTable table(ThreeDomains());
  UpstreamEntry entry = MakeEntry("u", "a1");
  table.Put(entry);
  entry.m_draining = true;
  entry.m_sequence = 2;
  table.Put(entry);
  entry.m_draining = false;
  entry.m_sequence = 3;
  table.Put(entry);
  BOOST_TEST(PickId(table, kStart).empty());
  table.Put(MakeEntry("u", "a1", 2));
  BOOST_TEST(PickId(table, kStart) == "u");
}

BOOST_AUTO_TEST_CASE(an_entry_of_an_earlier_incarnation_is_ignored)
{
  UpstreamTable table(ThreeDomains());
  table.Put(MakeEntry("u", "a1", 7));
  UpstreamEntry old = MakeEntry("u", "a1", 6);
  old.m_draining = true;
  table.Put(old);
  BOOST_TEST(PickId(table, kStart) == "u");
  BOOST_TEST(table.Size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_unresponsive_upstream_is_ejected_then_gets_one_trial)
{
  UpstreamTable table(ThreeDomains());
  table.Put(MakeEntry("u", "a1"));
  table.Put(MakeEntry("v", "b1"));
  UpstreamPtr upstream = table.Find({ "u", 1 });
  upstream->m_health.OnStart(kStart);
  upstream->m_health.OnEnd(AttemptEnd::TimedOut, kStart - 1s, kStart);
  BOOST_TEST(PickId(table, kStart) == "v");
  TimePoint later = kStart + kFirstEjection + 20s;
  BOOST_TEST(PickId(table, later) == "u");
  upstream->m_health.OnStart(later); // the trial
  BOOST_TEST(PickId(table, later) == "v");
  upstream->m_health.OnEnd(AttemptEnd::Answered, later, later);
  BOOST_TEST(PickId(table, later) == "u");
}

BOOST_AUTO_TEST_CASE(a_slow_request_does_not_eject_a_responsive_upstream)
{
  UpstreamHealth health;
  health.OnStart(kStart);
  health.OnStart(kStart);
  TimePoint now = kStart + kNoResponseTimeout;
  health.OnEnd(AttemptEnd::Answered, kStart, kStart + 50ms);
  BOOST_TEST(!health.OnNoResponse(kStart, now));
  health.OnEnd(AttemptEnd::TimedOut, kStart, now + 1s);
  BOOST_TEST(!health.IsEjected());
  // A request with a short timeout doesn't eject its upstream either.
  health.OnStart(now);
  health.OnEnd(AttemptEnd::TimedOut, now, now + kNoResponseTimeout - 1ms);
  BOOST_TEST(!health.IsEjected());
}

BOOST_AUTO_TEST_CASE(an_ejected_upstream_is_used_if_no_other_is_left)
{
  UpstreamTable table(ThreeDomains());
  table.Put(MakeEntry("u", "a1"));
  UpstreamPtr upstream = table.Find({ "u", 1 });
  upstream->m_health.OnStart(kStart);
  upstream->m_health.OnEnd(AttemptEnd::NotConnected, kStart, kStart);
  BOOST_TEST(PickId(table, kStart) == "u");
}

BOOST_AUTO_TEST_CASE(ejection_time_doubles_and_is_bounded)
{
  UpstreamHealth health;
  TimePoint now = kStart;
  for (std::uint32_t i = 0; i < kMaxEjectionDoublings + 3; ++i) {
    health.OnStart(now);
    health.OnEnd(AttemptEnd::TimedOut, now - 1s, now);
    Duration wanted =
      kFirstEjection * (1U << std::min(i, kMaxEjectionDoublings));
    BOOST_TEST((health.EjectedUntil() - now == wanted));
    now = health.EjectedUntil();
  }
}

BOOST_AUTO_TEST_CASE(an_upstream_with_many_failures_is_avoided_for_a_while)
{
  UpstreamTable table(ThreeDomains());
  table.Put(MakeEntry("near", "a1"));
  table.Put(MakeEntry("far", "b1"));
  UpstreamHealth& health = table.Find({ "near", 1 })->m_health;
  for (int i = 0; i < 6; ++i) {
    health.OnStart(kStart);
    health.OnEnd(AttemptEnd::Failed, kStart, kStart);
  }
  BOOST_TEST(PickId(table, kStart) == "far");
  BOOST_TEST(PickId(table, kStart + 20s) == "near");
}

BOOST_AUTO_TEST_CASE(an_upstream_without_entry_is_avoided_then_removed)
{
  UpstreamTable table(ThreeDomains());
  for (const char* id : { "u", "v", "w" }) {
    table.Put(MakeEntry(id, id == std::string("u") ? "a1" : "b1"));
  }
  table.OnEntryRemoved("u", kStart);
  BOOST_TEST(PickId(table, kStart) != "u");
  BOOST_TEST(table.Expire(kStart + kRemovedEntryGrace).size() == 1U);
  BOOST_TEST(table.Size() == 2U);
}

BOOST_AUTO_TEST_CASE(upstreams_stay_usable_longer_if_many_lose_their_entries)
{
  UpstreamTable table(ThreeDomains());
  for (const char* id : { "u", "v", "w" }) {
    table.Put(MakeEntry(id, "a1"));
  }
  table.OnSourceDisturbed(kStart);
  for (const char* id : { "u", "v", "w" }) {
    table.OnEntryRemoved(id, kStart);
  }
  TimePoint later = kStart + kRemovedEntryGrace + 1s;
  BOOST_TEST(table.Expire(later).empty());
  BOOST_TEST(!PickId(table, later).empty());
  table.Put(MakeEntry("v", "a1")); // its entry is back
  BOOST_TEST(PickId(table, later) == "v");
  BOOST_TEST(table.Expire(kStart + kMassRemovalGrace).size() == 2U);
}

BOOST_AUTO_TEST_CASE(two_upstreams_that_leave_in_turn_are_not_lost_entries)
{
  UpstreamTable table(ThreeDomains());
  for (const char* id : { "u", "v", "w" }) {
    table.Put(MakeEntry(id, "a1"));
  }
  table.OnEntryRemoved("u", kStart);
  table.OnEntryRemoved("v", kStart + 800ms);
  BOOST_TEST(table.Expire(kStart + kRemovedEntryGrace).size() == 1U);
  BOOST_TEST(table.Expire(kStart + 800ms + kRemovedEntryGrace).size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_upstream_that_left_is_not_restored_by_an_older_entry)
{
  UpstreamTable table(ThreeDomains());
  table.Put(MakeEntry("u", "a1"));
  BOOST_TEST(table.OnLeaving({ "u", 1 }));
  BOOST_TEST(!table.OnLeaving({ "u", 1 }));
  table.Put(MakeEntry("u", "a1"));
  BOOST_TEST(PickId(table, kStart).empty());
  table.OnEntryRemoved("u", kStart);
  BOOST_TEST(table.Expire(kStart + kRemovedEntryGrace).size() == 1U);
  table.Put(MakeEntry("u", "a1"));
  BOOST_TEST(PickId(table, kStart).empty());
  table.Put(MakeEntry("u", "a1", 2)); // started again
  BOOST_TEST(PickId(table, kStart) == "u");
}

BOOST_AUTO_TEST_CASE(a_too_high_report_number_does_not_hide_that_one_leaves)
{
  UpstreamTable table(ThreeDomains());
  UpstreamEntry entry = MakeEntry("u", "a1");
  entry.m_sequence = UINT64_MAX;
  table.Put(entry);
  entry.m_sequence = 5;
  entry.m_draining = true;
  table.Put(entry);
  BOOST_TEST(PickId(table, kStart).empty());
}

BOOST_AUTO_TEST_CASE(a_removed_entry_that_is_listed_again_is_held_first)
{
  UpstreamTable table(ThreeDomains());
  table.Put(MakeEntry("u", "a1"));
  table.OnEntryRemoved("u", kStart);
  table.Put(MakeEntry("u", "a1"));
  table.OnRelisted("u", 1'000ms, kStart);
  BOOST_TEST(PickId(table, kStart).empty());
  // Nor does it get a request that had chosen it before and waited.
  BOOST_TEST(!table.Find({ "u", 1 })->TakesRequests(kStart));
  BOOST_TEST(PickId(table, kStart + 3s + kRelistedEntryMargin) == "u");
  table.OnRelisted("u", 1'000ms, kStart);
  table.Put(MakeEntry("u", "a1")); // published by itself
  BOOST_TEST(PickId(table, kStart) == "u");
}

// -------------------------------------------------------------- requests

BOOST_AUTO_TEST_CASE(streams_may_take_as_long_as_the_longest_one_lately)
{
  Route route = MakeRoute("r", "h", "/");
  route.m_kind = RouteKind::Stream;
  route.m_timeout = 14'000ms;
  route.m_latencyTarget = 900ms;
  StreamTimes times;
  auto expected = [&](std::uint32_t aTokens, TimePoint aNow) {
    return times.Expected(route, 14'000ms, aTokens, aNow);
  };
  Duration usual = ExpectedTime(route, 14'000ms, 70);
  BOOST_TEST((expected(0, kStart) == 14'000ms));
  BOOST_TEST((expected(70, kStart) == usual));
  times.OnEnd(route, 0, 1'500ms, kStart);
  BOOST_TEST((expected(0, kStart) == 1'500ms));
  BOOST_TEST((expected(70, kStart) == usual));
  times.OnEnd(route, 70, 2 * usual, kStart);
  BOOST_TEST((expected(0, kStart) == 2 * usual));
  BOOST_TEST((expected(70, kStart) == 2 * usual));
  BOOST_TEST((times.Expected(route, 800ms, 70, kStart) == 800ms));
  TimePoint later = kStart + kStreamTimesSpan;
  times.OnEnd(route, 70, 1'000ms, later);
  BOOST_TEST((expected(70, later) == 2 * usual));
  later += 2 * kStreamTimesSpan;
  BOOST_TEST((expected(0, later) == 14'000ms));
  BOOST_TEST((expected(70, later) == usual));
}

BOOST_AUTO_TEST_CASE(a_request_needs_its_whole_time_or_that_of_its_tokens)
{
  Route route = MakeRoute("r", "h", "/");
  route.m_timeout = 1'500ms;
  BOOST_TEST((ExpectedTime(route, 4'000ms, 0) == 1'500ms));
  BOOST_TEST((ExpectedTime(route, 800ms, 0) == 800ms));
  route.m_kind = RouteKind::Stream;
  route.m_timeout = 14'000ms;
  route.m_latencyTarget = 900ms;
  BOOST_TEST((ExpectedTime(route, 14'000ms, 70) == 900ms + 70 * kMaxTokenTime));
  BOOST_TEST((ExpectedTime(route, 14'000ms, 5'000) == 14'000ms));
}

BOOST_AUTO_TEST_CASE(a_request_that_may_run_once_is_never_repeated)
{
  BOOST_TEST(rc::check("no second run, no false refusal", [] {
    RequestProgress progress;
    auto end = static_cast<AttemptEnd>(
      *rc::gen::inRange(0, static_cast<int>(AttemptEnd::Abandoned) + 1));
    progress.m_mayRepeat = *rc::gen::arbitrary<bool>();
    progress.m_maxAttempts = *rc::gen::inRange(1U, 4U);
    progress.m_runs = *rc::gen::inRange(0U, 5U);
    progress.m_refusals = *rc::gen::inRange(0U, 6U);
    progress.m_answerBegun = *rc::gen::arbitrary<bool>();
    progress.m_canResume = *rc::gen::arbitrary<bool>();
    progress.m_hasFailure =
      end == AttemptEnd::Failed ||
      (progress.m_runs > 0 && *rc::gen::arbitrary<bool>());
    progress.m_timeLeft =
      std::chrono::milliseconds(*rc::gen::inRange(0, 2'000));
    bool ran = end == AttemptEnd::Failed || end == AttemptEnd::Broken ||
               end == AttemptEnd::TimedOut;
    if (ran && progress.m_runs == 0) {
      progress.m_runs = 1;
    }
    NextStep next = DecideNextStep(progress, end);
    if (next == NextStep::TryAgain && progress.m_runs > 0) {
      RC_ASSERT(progress.m_mayRepeat);
      RC_ASSERT(progress.m_runs < progress.m_maxAttempts);
      RC_ASSERT(!progress.m_answerBegun || progress.m_canResume);
    }
    if (next == NextStep::Refuse) {
      RC_ASSERT(progress.m_runs == 0U);
      RC_ASSERT(!progress.m_answerBegun);
    }
    if (progress.m_answerBegun && end != AttemptEnd::Answered) {
      RC_ASSERT(next == NextStep::AbortAnswer || next == NextStep::TryAgain);
    }
    if (progress.m_hasFailure && !progress.m_answerBegun) {
      RC_ASSERT(next == NextStep::PassOn || next == NextStep::TryAgain);
    }
  }));
}

BOOST_AUTO_TEST_CASE(a_refused_request_is_tried_elsewhere_up_to_a_limit)
{
  RequestProgress progress{ .m_timeLeft = 1'000ms };
  progress.m_refusals = 1;
  BOOST_TEST(
    (DecideNextStep(progress, AttemptEnd::Refused) == NextStep::TryAgain));
  progress.m_refusals = kMaxRefusals;
  BOOST_TEST(
    (DecideNextStep(progress, AttemptEnd::Refused) == NextStep::Refuse));
}

BOOST_AUTO_TEST_CASE(an_upstreams_own_failure_is_passed_on_if_it_cannot_repeat)
{
  RequestProgress progress{ .m_runs = 1,
                            .m_hasFailure = true,
                            .m_timeLeft = 1'000ms };
  BOOST_TEST(
    (DecideNextStep(progress, AttemptEnd::Failed) == NextStep::PassOn));
  progress.m_mayRepeat = true;
  progress.m_maxAttempts = 2;
  BOOST_TEST(
    (DecideNextStep(progress, AttemptEnd::Failed) == NextStep::TryAgain));
}

BOOST_AUTO_TEST_CASE(vms_together_stay_within_the_retry_budget)
{
  BOOST_TEST(rc::check("sum of all VMs", [] {
    RetryBudgetOptions options{ .m_ratio = 0.2,
                                .m_slack = 58,
                                .m_window = 10'000ms };
    auto vms = *rc::gen::inRange<std::size_t>(1, 12);
    double requests = 0;
    double extra = 0;
    for (std::size_t vm = 0; vm < vms; ++vm) {
      RetryBudget budget(options, kStart - 1h);
      auto count = *rc::gen::inRange(0, 60);
      for (int i = 0; i < count; ++i) {
        budget.OnRequest(kStart + i * 10ms);
        requests += 1;
      }
      while (budget.Take(vms, kStart + 1s)) {
        extra += 1;
      }
    }
    RC_ASSERT(extra <= options.m_ratio * requests + options.m_slack);
  }));
}

BOOST_AUTO_TEST_CASE(a_retry_budget_recovers_after_its_window)
{
  RetryBudget budget({ .m_ratio = 0, .m_slack = 2, .m_window = 10'000ms },
                     kStart - 1h);
  BOOST_TEST(budget.Take(1, kStart));
  BOOST_TEST(!budget.Take(1, kStart + 9s));
  BOOST_TEST(budget.Take(1, kStart + 11s));
}

BOOST_AUTO_TEST_CASE(a_restarted_vm_does_not_spend_the_slack_again)
{
  RetryBudgetOptions options{ .m_ratio = 0.2,
                              .m_slack = 58,
                              .m_window = 10'000ms };
  // Nine VMs spend their budgets, lose their state in a common restart, and
  // spend again.
  double extra = 0;
  double requests = 0;
  for (TimePoint started : { kStart - 1h, kStart }) {
    for (int vm = 0; vm < 9; ++vm) {
      RetryBudget budget(options, started);
      for (int i = 0; i < 12; ++i) {
        budget.OnRequest(kStart + 1s);
        requests += 1;
      }
      while (budget.Take(9, kStart + 2s)) {
        extra += 1;
      }
    }
  }
  BOOST_TEST(extra <= options.m_ratio * requests + options.m_slack);
}

// ------------------------------------------------------- links, relays

BOOST_AUTO_TEST_CASE(links_count_as_cut_once_several_upstreams_give_no_answer)
{
  LinkState links;
  BOOST_TEST(!links.OnNoAnswer({ "a", 1 }, 12, kStart));
  BOOST_TEST(!links.OnNoAnswer({ "a", 1 }, 12, kStart));
  BOOST_TEST(!links.OnNoAnswer({ "b", 1 }, 12, kStart));
  BOOST_TEST(links.OnNoAnswer({ "c", 1 }, 12, kStart));
  BOOST_TEST(links.IsCut(kStart));
  BOOST_TEST(!links.OnNoAnswer({ "d", 1 }, 12, kStart)); // no news
  BOOST_TEST(links.TakeTrial(kStart));
  BOOST_TEST(!links.TakeTrial(kStart));
  BOOST_TEST(links.TakeTrial(kStart + kLinkTrialPeriod));
  BOOST_TEST(links.OnAnswer(kStart));
  BOOST_TEST(!links.IsCut(kStart));
}

BOOST_AUTO_TEST_CASE(links_are_not_cut_while_an_upstream_answers)
{
  LinkState links;
  for (const char* id : { "a", "b", "c", "d" }) {
    BOOST_TEST(!links.OnNoAnswer({ id, 1 }, 12, kStart));
    links.OnAnswer(kStart);
  }
  // Failures at times far apart aren't one event.
  TimePoint now = kStart;
  for (const char* id : { "a", "b", "c", "d" }) {
    BOOST_TEST(!links.OnNoAnswer({ id, 1 }, 12, now));
    now += kLinkEvidenceTime;
  }
  // One crashed upstream of a service of one doesn't look like a cut.
  LinkState one;
  BOOST_TEST(!one.OnNoAnswer({ "a", 1 }, 1, kStart));
}

BOOST_AUTO_TEST_CASE(a_relay_is_chosen_by_service_and_distance)
{
  RelayTable relays(ThreeDomains());
  auto pick = [&](const std::string& aService, bool aAny) {
    UpstreamPtr found = relays.Pick({ .m_service = aService,
                                      .m_fromDomain = {},
                                      .m_excluded = {},
                                      .m_softwareVersion = {} },
                                    aAny,
                                    kStart);
    return found == nullptr ? "" : found->m_entry.m_key.m_id;
  };
  relays.Put({ "far:1", "far:2", "b1", { "s" } }, kStart);
  BOOST_TEST(pick("s", false) == "far:1");
  relays.Put({ "near:1", "near:2", "a1", { "s" } }, kStart);
  BOOST_TEST(pick("s", false) == "near:1");
  BOOST_TEST(pick("t", false).empty());
  relays.Put({ "far:1", "far:2", "b1", { "t" } }, kStart);
  BOOST_TEST(pick("t", true) == "far:1");
  relays.Remove("near:1");
  BOOST_TEST(pick("s", false).empty());
  BOOST_TEST(pick("s", true) == "far:1");
  relays.Expire(kStart + kRelayOfferLifetime + 1ms);
  BOOST_TEST(relays.IsEmpty());
}

// ------------------------------------------------------- engines' memory

namespace {

/// Simulates a burst beyond the memory of engines, which holds aPlaces
/// requests, each served in aServiceTime.
/// @return how many requests are served on time
int
SimulateBurst(bool aTimelyFirst, int aPlaces, Duration aServiceTime)
{
  constexpr auto kTarget = 900ms;
  constexpr auto kCallerTimeout = 3'600ms;
  MemoryQueue queue;
  std::map<std::uint64_t, TimePoint> received;
  std::vector<TimePoint> busyUntil(static_cast<std::size_t>(aPlaces), kStart);
  int onTime = 0;
  std::uint64_t id = 0;
  for (TimePoint now = kStart; now < kStart + 20s; now += 10ms) {
    bool burst = now < kStart + 5s;
    // 30 requests a second in the burst, 10 after it.
    if ((now - kStart) % (burst ? 30ms : 100ms) < 10ms) {
      received[++id] = now;
      queue.Add(
        { .m_id = id,
          .m_onTimeUntil = aTimelyFirst ? now + kTarget : kStart + 1'000s,
          .m_giveUpAt = now + kCallerTimeout });
    }
    for (std::uint64_t expired : queue.TakeExpired(now)) {
      received.erase(expired);
    }
    for (TimePoint& until : busyUntil) {
      std::optional<std::uint64_t> next = queue.Next(now);
      if (until > now || !next) {
        continue;
      }
      queue.Remove(*next);
      until = now + aServiceTime;
      onTime += now - received.at(*next) <= kTarget ? 1 : 0;
    }
  }
  return onTime;
}

} // namespace

BOOST_AUTO_TEST_CASE(in_a_burst_most_requests_stay_on_time)
{
  // The engines serve 20 requests a second. Served in order of arrival, the
  // burst would make all requests late.
  int timelyFirst = SimulateBurst(true, 60, 3s);
  int inTurn = SimulateBurst(false, 60, 3s);
  BOOST_TEST(timelyFirst >= 230); // of 317
  BOOST_TEST(timelyFirst > inTurn + 40);
}

BOOST_AUTO_TEST_CASE(late_requests_are_served_after_those_that_can_be_on_time)
{
  MemoryQueue queue;
  queue.Add({ 1, kStart + 1s, kStart + 4s });
  queue.Add({ 2, kStart + 3s, kStart + 6s });
  BOOST_TEST(*queue.Next(kStart) == 1U);
  BOOST_TEST(*queue.Next(kStart + 2s) == 2U);
  BOOST_TEST(!queue.HasTimely(kStart + 4s, 0));
  BOOST_TEST(*queue.Next(kStart + 3'500ms) == 1U);
  BOOST_TEST(queue.TakeExpired(kStart + 4s).size() == 1U);
  BOOST_TEST(queue.Size() == 1U);
}

// ------------------------------------------------------------- directory

namespace {

DirectoryItem
Item(const std::string& aKey, std::uint64_t aRevision, bool aRemoved = false)
{
  return { .m_key = aKey,
           .m_value = aRemoved ? "" : "v" + std::to_string(aRevision),
           .m_revision = aRevision,
           .m_removed = aRemoved };
}

} // namespace

BOOST_AUTO_TEST_CASE(directories_converge_whatever_the_order_of_updates)
{
  BOOST_TEST(rc::check("same items", [] {
    // A history of writes and removals, with one revision each.
    std::vector<DirectoryItem> history;
    auto length = *rc::gen::inRange<std::uint64_t>(1, 30);
    for (std::uint64_t revision = 1; revision <= length; ++revision) {
      auto key = std::string(1, *rc::gen::inRange('a', 'e'));
      history.push_back(Item(key, revision, *rc::gen::inRange(0, 3) == 0));
    }
    Directory complete;
    complete.Apply({ .m_upToRevision = length, .m_items = history }, kStart);
    Directory partial;
    for (int i = 0; i < 10; ++i) {
      auto from = *rc::gen::inRange<std::size_t>(0, length);
      std::vector<DirectoryItem> part(
        history.begin() + static_cast<std::ptrdiff_t>(from), history.end());
      partial.Apply({ .m_upToRevision = 0, .m_items = part }, kStart);
    }
    partial.Apply(complete.Since(partial.Position()), kStart);
    auto itemsOf = [](const Directory& aDirectory) {
      std::map<std::string, std::uint64_t> items;
      for (const DirectoryItem& item : aDirectory.Since({}).m_items) {
        if (!item.m_removed) {
          items[item.m_key] = item.m_revision;
        }
      }
      return items;
    };
    RC_ASSERT(itemsOf(complete) == itemsOf(partial));
  }));
}

BOOST_AUTO_TEST_CASE(a_snapshot_removes_items_that_it_does_not_hold)
{
  Directory directory;
  directory.Apply(
    { .m_upToRevision = 2, .m_items = { Item("a", 1), Item("b", 2) } }, kStart);
  auto changed = directory.Apply(
    { .m_isSnapshot = true, .m_upToRevision = 5, .m_items = { Item("b", 2) } },
    kStart);
  BOOST_REQUIRE(changed.size() == 1U);
  BOOST_TEST(changed[0].m_key == "a");
  BOOST_TEST(changed[0].m_removed);
}

BOOST_AUTO_TEST_CASE(an_old_snapshot_does_not_restore_removed_items)
{
  Directory directory;
  directory.Apply({ .m_upToRevision = 1, .m_items = { Item("a", 1) } }, kStart);
  directory.Apply({ .m_upToRevision = 3, .m_items = { Item("a", 3, true) } },
                  kStart);
  auto changed = directory.Apply(
    { .m_isSnapshot = true, .m_upToRevision = 2, .m_items = { Item("a", 1) } },
    kStart);
  BOOST_TEST(changed.empty());
  BOOST_TEST(directory.Position().m_revision == 3U);
}

BOOST_AUTO_TEST_CASE(
  an_old_reply_to_a_vm_that_has_just_started_restores_nothing)
{
  // It asked a peer that is behind before the source had answered.
  Directory directory;
  directory.Apply(
    { .m_isSnapshot = true, .m_upToRevision = 9, .m_items = { Item("b", 2) } },
    kStart);
  auto changed = directory.Apply(
    { .m_upToRevision = 5, .m_items = { Item("a", 1), Item("b", 2) } }, kStart);
  BOOST_TEST(changed.empty());
  // An item that was removed long ago stays removed, too.
  directory.Apply({ .m_upToRevision = 10, .m_items = { Item("b", 10, true) } },
                  kStart);
  directory.Apply({ .m_upToRevision = 11, .m_items = {} },
                  kStart + kRemovalRetention + 1s);
  changed =
    directory.Apply({ .m_upToRevision = 5, .m_items = { Item("b", 2) } },
                    kStart + kRemovalRetention + 1s);
  BOOST_TEST(changed.empty());
}

BOOST_AUTO_TEST_CASE(discarded_removals_make_the_next_delta_a_snapshot)
{
  Directory directory;
  directory.Apply({ .m_upToRevision = 1, .m_items = { Item("a", 1) } }, kStart);
  directory.Apply({ .m_upToRevision = 2, .m_items = { Item("a", 2, true) } },
                  kStart);
  BOOST_TEST(!directory.Since({ .m_revision = 1 }).m_isSnapshot);
  directory.Apply({ .m_upToRevision = 3, .m_items = { Item("b", 3) } },
                  kStart + kRemovalRetention + 1s);
  BOOST_TEST(directory.Since({ .m_revision = 1 }).m_isSnapshot);
}

namespace {

/// A directory of era 1 at revision 9 that has seen the removal of "gone".
Directory
FirstEra()
{
  Directory directory;
  directory.Apply(
    { .m_isSnapshot = true,
      .m_era = 1,
      .m_upToRevision = 8,
      .m_items = { Item("a", 2), Item("gone", 3), Item("b", 7) } },
    kStart);
  directory.Apply(
    { .m_era = 1, .m_upToRevision = 9, .m_items = { Item("gone", 9, true) } },
    kStart);
  return directory;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_new_era_replaces_items_of_higher_revisions)
{
  Directory directory = FirstEra();
  auto changed = directory.Apply(
    { .m_isSnapshot = true,
      .m_era = 2,
      .m_upToRevision = 5,
      .m_items = { Item("a", 2), Item("gone", 3), Item("c", 5) } },
    kStart);
  std::map<std::string, bool> removed;
  std::set<std::string> relisted;
  for (const DirectoryItem& item : changed) {
    removed[item.m_key] = item.m_removed;
    if (item.m_relisted) {
      relisted.insert(item.m_key);
    }
  }
  std::map<std::string, bool> expected{
    { "a", false }, { "b", true }, { "c", false }, { "gone", false }
  };
  BOOST_TEST((removed == expected));
  BOOST_TEST((relisted == std::set<std::string>{ "gone" }));
  BOOST_TEST(
    (directory.Position() == DirectoryPosition{ .m_era = 2, .m_revision = 5 }));
  // Revisions that were given out before are news.
  changed = directory.Apply(
    { .m_era = 2, .m_upToRevision = 6, .m_items = { Item("b", 6) } }, kStart);
  BOOST_TEST(changed.size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_older_era_changes_nothing)
{
  Directory directory = FirstEra();
  for (bool isSnapshot : { false, true }) {
    auto changed = directory.Apply({ .m_isSnapshot = isSnapshot,
                                     .m_era = 0,
                                     .m_upToRevision = 99,
                                     .m_items = { Item("a", 99) } },
                                   kStart);
    BOOST_TEST(changed.empty());
  }
  BOOST_TEST(directory.Position().m_revision == 9U);
}

BOOST_AUTO_TEST_CASE(a_new_era_begins_with_a_snapshot_only)
{
  Directory directory = FirstEra();
  auto changed = directory.Apply(
    { .m_era = 2, .m_upToRevision = 99, .m_items = { Item("a", 99) } }, kStart);
  BOOST_TEST(changed.empty());
  BOOST_TEST(directory.Since({ .m_era = 0, .m_revision = 99 }).m_isSnapshot);
  BOOST_TEST(!directory.Since({ .m_era = 1, .m_revision = 8 }).m_isSnapshot);
}

// ----------------------------------------------------------------- peers

BOOST_AUTO_TEST_CASE(vms_with_the_same_peers_choose_the_same_ones_for_a_key)
{
  const std::vector<std::string> all = { "a:1", "b:1", "c:1", "d:1", "e:1" };
  PeerList one("x:1", all);
  PeerList two("y:1", { all.rbegin(), all.rend() });
  std::set<std::string> chosen;
  for (int i = 0; i < 50; ++i) {
    std::string key = "r" + std::to_string(i);
    std::vector<std::string> peers = one.Closest(key, 2, TimePoint{});
    BOOST_TEST(peers.size() == 2U);
    BOOST_TEST((peers == two.Closest(key, 2, TimePoint{})));
    chosen.insert(peers.begin(), peers.end());
  }
  BOOST_TEST(chosen.size() == all.size());
  BOOST_TEST(one.Closest("r", 9, TimePoint{}).size() == all.size());
}

BOOST_AUTO_TEST_CASE(peers_are_learnt_from_reports_and_expire_unless_seeds)
{
  auto random = MakeSeededRandom(1);
  PeerList peers("10.0.0.1:1", { "10.0.0.1:1", "10.0.0.2:1" });
  BOOST_TEST(peers.Next(*random, kStart) == "10.0.0.2:1");
  BOOST_TEST(peers.LiveCount(kStart) == 1U);
  peers.OnContact("10.0.0.2:1", kStart);
  peers.OnContactReported("10.0.0.3:1", 1s, kStart);
  peers.OnContactReported("10.0.0.1:1", 0s, kStart);
  BOOST_TEST(peers.LiveCount(kStart) == 3U);
  BOOST_TEST(peers.ContactAges(kStart).size() == 2U);
  BOOST_TEST(peers.LiveCount(kStart + kPeerLiveTime) == 1U);
  TimePoint later = kStart + kPeerRetention + 1s;
  BOOST_TEST(peers.Next(*random, later) == "10.0.0.2:1"); // a seed stays
  peers.OnUnreachable("10.0.0.2:1", later);
  BOOST_TEST(peers.Next(*random, later).empty());
}
