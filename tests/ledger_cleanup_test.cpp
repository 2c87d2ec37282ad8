/// Tests of cancels, of the sweeper, and of the quarantine of requests that
/// crash engines.

#define BOOST_TEST_MODULE ledger_cleanup
#include <boost/test/unit_test.hpp>

#include "config.h"
#include "ledger_check.h"
#include "shallotford/ledger.h"

#include <algorithm>

using namespace shallotford;

BOOST_GLOBAL_FIXTURE(ManyCases);

namespace {

const TimePoint kStart{ 1000s };
constexpr auto kRound = 500ms;

AttemptId
StreamOf(std::size_t aVm, std::uint64_t aIncarnation, std::uint64_t aSequence)
{
  std::string address = "10.0.0." + std::to_string(aVm) + ":7";
  return { { { address, aIncarnation }, aSequence }, 1 };
}

/// The real situation of a stream. The sweeper sees only the engine's list, the
/// membership and the VMs' answers.
enum class Truth
{
  Read,     ///< its live VM reads it
  Awaited,  ///< its live VM waits for it, not attached
  Resumed,  ///< its VM has failed, another one reads it
  Disowned, ///< its live VM has ended it
  Killed,   ///< its VM was killed
  HalfOpen, ///< its VM was killed and the engine has not noticed
  Replaced, ///< its VM was killed and a new incarnation is there
  UnknownVm ///< no VM of its address is known
};
constexpr std::uint32_t kTruths = 8;

bool
IsNeeded(Truth aTruth)
{
  return aTruth <= Truth::Resumed;
}

/// Nine VMs, of which 1 and 3 fail at kStart and 5 was replaced, and the
/// streams of one engine.
struct SweepSimulation
{
  void Add(std::uint32_t aChoice)
  {
    auto truth = static_cast<Truth>(Take(aChoice, kTruths));
    std::size_t vm = std::size_t{ 2 } * Take(aChoice, 4);
    bool failed = truth == Truth::Killed || truth == Truth::HalfOpen ||
                  truth == Truth::Resumed;
    if (failed) {
      vm = truth == Truth::HalfOpen ? 1 : 3;
    }
    if (truth == Truth::Replaced) {
      vm = 5;
    }
    if (truth == Truth::UnknownVm) {
      vm = 77;
    }
    m_streams.emplace(StreamOf(vm, 1, m_streams.size()), truth);
  }
  std::vector<HeldStream> List() const
  {
    std::vector<HeldStream> held;
    for (const auto& [stream, truth] : m_streams) {
      bool attached = truth == Truth::Read || truth == Truth::Resumed ||
                      truth == Truth::HalfOpen;
      held.push_back({ stream, attached });
    }
    return held;
  }
  std::vector<SweepMember> Members() const
  {
    std::vector<SweepMember> members;
    for (std::size_t vm = 0; vm < 9; ++vm) {
      VmIncarnation name = StreamOf(vm, vm == 5 ? 2 : 1, 0).m_request.m_vm;
      bool failed = vm == 1 || vm == 3;
      members.push_back({ name, failed ? m_now - kStart : Duration{ 0 } });
    }
    return members;
  }
  SweepAnswer AnswerTo(const SweepQuestion& aQuestion) const
  {
    SweepAnswer answer{ .m_round = aQuestion.m_round };
    for (const SweepMember& member : Members()) {
      if (member.m_vm.m_address == aQuestion.m_address) {
        answer.m_vm = member.m_vm;
      }
    }
    for (const AttemptId& stream : aQuestion.m_streams) {
      Truth truth = m_streams.at(stream);
      bool mine = stream.m_request.m_vm == answer.m_vm && IsNeeded(truth);
      bool resumed =
        truth == Truth::Resumed && answer.m_vm.m_address == "10.0.0.8:7";
      if (mine || resumed) {
        answer.m_owned.insert(stream);
      }
    }
    return answer;
  }
  /// Runs one round and returns the streams that were cancelled.
  std::vector<AttemptId> Round(Sweeper& aSweeper)
  {
    SweepPlan plan = aSweeper.Decide(List(), Members(), m_now);
    for (const SweepQuestion& question : plan.m_questions) {
      bool failed = question.m_address == "10.0.0.1:7" ||
                    question.m_address == "10.0.0.3:7";
      if (!failed) {
        aSweeper.OnAnswer(AnswerTo(question));
      }
    }
    m_now += kRound;
    return plan.m_cancels;
  }

  TimePoint m_now{ kStart };
  std::map<AttemptId, Truth> m_streams;
};

/// Nine VMs and six engines that run requests; some requests are poison.
struct PoisonSimulation
{
  struct Request
  {
    std::string m_fingerprint;
    bool m_poison{ false };
    std::size_t m_vm{};
    std::string m_engine{}; ///< empty while the request waits
    int m_left{ 3 };        ///< steps to run
    bool m_answered{ false };
    bool m_refused{ false };
  };

  explicit PoisonSimulation(std::uint64_t aSeed)
    : m_random(MakeSeededRandom(aSeed))
  {
    for (int vm = 0; vm < 9; ++vm) {
      m_vms.emplace_back(PoisonOptions{});
      m_names.push_back("10.0.0." + std::to_string(vm) + ":7");
    }
    std::string name = SuspectCoordinator("drafts", m_names);
    auto found = std::find(m_names.begin(), m_names.end(), name);
    m_coordinator = static_cast<std::size_t>(found - m_names.begin());
  }
  void Add(const std::string& aFingerprint, bool aPoison)
  {
    m_requests.push_back({ .m_fingerprint = aFingerprint,
                           .m_poison = aPoison,
                           .m_vm = m_random->Below(9) });
  }
  /// Calls the coordinator and merges its reply.
  SuspectReply Ask(std::size_t aVm, const Json::Value& aCall)
  {
    SuspectReply reply =
      ReadSuspectReply(m_vms[m_coordinator].Serve(aCall, kDigest, m_now));
    m_vms[aVm].Merge(reply.m_digest, m_now);
    return reply;
  }
  void Place(Request& aRequest)
  {
    std::string engine = "e" + std::to_string(m_random->Below(6));
    PoisonTracker& own = m_vms[aRequest.m_vm];
    PoisonStatus status = own.StatusOf(aRequest.m_fingerprint, m_now);
    if (status == PoisonStatus::Convicted) {
      aRequest.m_refused = true;
      return;
    }
    if (status == PoisonStatus::Clear ||
        Ask(aRequest.m_vm, SuspectCall::Grant(aRequest.m_fingerprint, engine))
          .m_granted) {
      aRequest.m_engine = engine;
      aRequest.m_left = 3;
    }
  }
  void Crash(const std::string& aEngine)
  {
    ++m_crashedEngines;
    std::map<std::size_t, std::vector<std::string>> batches;
    for (Request& request : m_requests) {
      if (request.m_engine == aEngine) {
        batches[request.m_vm].push_back(request.m_fingerprint);
        request.m_engine.clear();
      }
    }
    // The reports arrive in any order.
    std::vector<std::size_t> order;
    for (const auto& [vm, batch] : batches) {
      auto at = order.begin() +
                static_cast<std::ptrdiff_t>(m_random->Below(order.size() + 1));
      order.insert(at, vm);
    }
    for (std::size_t vm : order) {
      SuspectReply reply = Ask(vm, SuspectCall::Crash(aEngine, batches[vm]));
      // The coordinator sends a conviction to all VMs at once.
      for (PoisonTracker& other : m_vms) {
        if (!reply.m_verdict.m_convicted.empty()) {
          other.Merge(reply.m_digest, m_now);
        }
      }
      m_now += 1ms;
    }
  }
  void Step()
  {
    for (Request& request : m_requests) {
      bool waits =
        request.m_engine.empty() && !request.m_answered && !request.m_refused;
      if (waits) {
        Place(request);
      }
    }
    std::set<std::string> crashed;
    for (const Request& request : m_requests) {
      if (request.m_poison && !request.m_engine.empty()) {
        crashed.insert(request.m_engine);
      }
    }
    for (const std::string& engine : crashed) {
      Crash(engine);
    }
    for (Request& request : m_requests) {
      if (!request.m_engine.empty() && --request.m_left == 0) {
        bool suspect = m_vms[request.m_vm].StatusOf(
                         request.m_fingerprint, m_now) == PoisonStatus::Suspect;
        if (suspect) {
          Ask(request.m_vm,
              SuspectCall::RunEnded(
                request.m_fingerprint, request.m_engine, true));
        }
        request.m_answered = true;
        request.m_engine.clear();
      }
    }
    // Gossip reaches the other VMs a second later.
    m_gossip.push_back(m_vms[m_coordinator].Digest(kDigest, m_now));
    if (m_gossip.size() > 2) {
      for (PoisonTracker& vm : m_vms) {
        vm.Merge(m_gossip.front(), m_now);
      }
      m_gossip.pop_front();
    }
    m_now += 500ms;
  }
  /// The caller of a refused request sends it again at once.
  void Resend()
  {
    bool refused = std::any_of(
      m_requests.begin(), m_requests.end(), [this](const Request& aRequest) {
        return aRequest.m_refused && m_resent < 20;
      });
    if (refused) {
      ++m_resent;
      Add("poison", true);
    }
  }

  static constexpr std::size_t kDigest = 64u << 10;
  std::unique_ptr<RandomI> m_random;
  std::vector<PoisonTracker> m_vms;
  std::vector<std::string> m_names;
  std::size_t m_coordinator{};
  std::vector<Request> m_requests;
  std::deque<std::string> m_gossip;
  int m_resent{ 0 };
  int m_crashedEngines{ 0 };
  TimePoint m_now{ kStart };
};

} // namespace

BOOST_AUTO_TEST_CASE(cancels_repeat_until_confirmed)
{
  CancelQueue queue({ .m_firstRepeat = 200ms, .m_maxRepeat = 800ms });
  AttemptId stream = StreamOf(1, 1, 1);
  queue.Add("e1", stream, kStart);
  queue.Add("e1", stream, kStart);
  std::vector<std::int64_t> calls;
  for (auto at = 0ms; at < 4s; at += 100ms) {
    for (const CancelCall& call : queue.Due(kStart + at, 10)) {
      BOOST_TEST(call.m_upstream == "e1");
      calls.push_back(at.count());
    }
  }
  std::vector<std::int64_t> expected{ 0, 200, 600, 1400, 2200, 3000, 3800 };
  BOOST_TEST(calls == expected, boost::test_tools::per_element());
  queue.OnConfirmed("e1", stream);
  BOOST_TEST(queue.Size() == 0u);
  BOOST_TEST(!queue.NextDue().has_value());
}

BOOST_AUTO_TEST_CASE(cancels_are_bounded_and_dropped_with_their_engine)
{
  CancelQueue queue({ .m_maxPerUpstream = 3, .m_lifetime = 10s });
  for (std::uint64_t i = 0; i < 5; ++i) {
    queue.Add("e1", StreamOf(1, 1, i), kStart);
    queue.Add("e2", StreamOf(1, 1, i), kStart);
  }
  BOOST_TEST(queue.Size() == 6u);
  BOOST_TEST(queue.Dropped() == 4u);
  BOOST_TEST(queue.Due(kStart, 2).size() == 2u);
  queue.OnUpstreamReset("e1");
  BOOST_TEST(queue.Size() == 3u);
  BOOST_TEST(queue.Due(kStart + 10s, 10).empty());
  BOOST_TEST(queue.Size() == 0u);
}

BOOST_AUTO_TEST_CASE(orphaned_streams_are_swept_in_time_and_no_others)
{
  BOOST_TEST(rc::check("sweep", [] {
    Script script = AnyScript();
    SweepSimulation simulation;
    for (std::uint32_t choice : script) {
      simulation.Add(choice);
    }
    Sweeper sweeper({ .m_engine = "e1", .m_period = kRound });
    while (simulation.m_now < kStart + kMaxOrphanedStreamAge) {
      for (const AttemptId& stream : simulation.Round(sweeper)) {
        RC_ASSERT(!IsNeeded(simulation.m_streams.at(stream)));
        simulation.m_streams.erase(stream);
      }
    }
    for (const auto& [stream, truth] : simulation.m_streams) {
      RC_ASSERT(IsNeeded(truth));
    }
  }));
}

BOOST_AUTO_TEST_CASE(paused_sweeper_treats_no_vm_as_unreachable)
{
  Sweeper sweeper({ .m_engine = "e1", .m_period = kRound });
  AttemptId stream = StreamOf(1, 1, 1);
  VmIncarnation vm = stream.m_request.m_vm;
  sweeper.Decide({ { stream, true } }, { { vm, 0s } }, kStart);
  // Every VM seems to have been unreachable while this process was paused.
  SweepPlan plan =
    sweeper.Decide({ { stream, false } }, { { vm, 60s } }, kStart + 60s);
  BOOST_TEST(plan.m_cancels.empty());
  plan = sweeper.Decide({ { stream, false } }, { { vm, 100ms } }, kStart + 61s);
  BOOST_TEST(plan.m_cancels.empty());
  BOOST_TEST(plan.m_questions.size() == 1u);
  // An answer to a question of an earlier round is ignored.
  sweeper.OnAnswer({ vm, plan.m_questions.front().m_round - 1, {} });
  plan =
    sweeper.Decide({ { stream, false } }, { { vm, 100ms } }, kStart + 61500ms);
  BOOST_TEST(plan.m_cancels.empty());
  sweeper.OnAnswer({ vm, plan.m_questions.front().m_round, {} });
  plan = sweeper.Decide({ { stream, false } }, { { vm, 100ms } }, kStart + 62s);
  BOOST_TEST(plan.m_cancels.size() == 1u);
}

BOOST_AUTO_TEST_CASE(
  poison_request_crashes_two_engines_and_no_other_is_convicted)
{
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    PoisonSimulation simulation(seed);
    for (int i = 0; i < 60; ++i) {
      simulation.Add("innocent" + std::to_string(i), false);
    }
    simulation.Add("poison", true);
    // In every second simulation the caller sends it twice at once.
    if (seed % 2 == 0) {
      simulation.Add("poison", true);
    }
    for (int step = 0; step < 80; ++step) {
      simulation.Step();
      simulation.Resend();
    }
    BOOST_TEST(simulation.m_resent == 20);
    BOOST_TEST(simulation.m_crashedEngines == 2,
               "seed " << seed << ": " << simulation.m_crashedEngines);
    for (const PoisonSimulation::Request& request : simulation.m_requests) {
      BOOST_TEST(request.m_answered == !request.m_poison);
      BOOST_TEST(request.m_refused == request.m_poison);
    }
  }
}

BOOST_AUTO_TEST_CASE(suspects_run_one_at_a_time_per_engine_and_nowhere_else)
{
  PoisonTracker tracker({ .m_gossipTime = 0ms });
  tracker.OnCrash("e1", { "a", "b" }, kStart);
  BOOST_TEST(tracker.Grant("a", "e2", kStart));
  BOOST_TEST(!tracker.MayPlace("b", "e2", kStart));
  BOOST_TEST(!tracker.MayPlace("a", "e3", kStart));
  BOOST_TEST(tracker.MayPlace("clear", "e2", kStart));
  tracker.OnRunEnded("a", "e2", true, kStart);
  BOOST_TEST((tracker.StatusOf("a", kStart) == PoisonStatus::Clear));
  BOOST_TEST(tracker.Grant("b", "e2", kStart));
  CrashVerdict verdict = tracker.OnCrash("e2", { "b", "c" }, kStart + 1s);
  BOOST_TEST((verdict.m_convicted == std::vector<std::string>{ "b" }));
  // Another VM reports its part of the same batch later.
  verdict = tracker.OnCrash("e2", { "d" }, kStart + 2s);
  BOOST_TEST(verdict.m_suspects.empty());
  for (const char* fingerprint : { "c", "d" }) {
    BOOST_TEST(
      (tracker.StatusOf(fingerprint, kStart + 2s) == PoisonStatus::Clear));
  }
  BOOST_TEST((tracker.StatusOf("b", kStart + 2h) == PoisonStatus::Clear));
}

BOOST_AUTO_TEST_CASE(second_crash_of_a_restarted_engine_convicts_its_suspect)
{
  PoisonTracker tracker({ .m_gossipTime = 500ms });
  tracker.OnCrash("e1", { "a", "b" }, kStart);
  BOOST_TEST(!tracker.Grant("a", "e1", kStart + 499ms));
  BOOST_TEST(tracker.Grant("a", "e1", kStart + 500ms));
  CrashVerdict verdict = tracker.OnCrash("e1", { "a" }, kStart + 1s);
  BOOST_TEST((verdict.m_convicted == std::vector<std::string>{ "a" }));
}

BOOST_AUTO_TEST_CASE(quarantine_digest_is_bounded_and_merges_in_any_order)
{
  PoisonTracker one({ .m_gossipTime = 0ms, .m_maxEntries = 50 });
  PoisonTracker two({ .m_maxEntries = 50 });
  one.Convict("guilty", kStart);
  for (int i = 0; i < 100; ++i) {
    one.OnCrash("e" + std::to_string(i), { "f" + std::to_string(i) }, kStart);
  }
  BOOST_TEST(one.Size() == 50u);
  BOOST_TEST(one.Digest(500, kStart).size() <= 500u);
  std::string before = one.Digest(64u << 10, kStart);
  one.Grant("f99", "e1", kStart);
  one.OnRunEnded("f99", "e1", true, kStart);
  std::string after = one.Digest(64u << 10, kStart);
  for (const std::string& digest : { after, before, after }) {
    two.Merge(digest, kStart);
  }
  BOOST_TEST((two.StatusOf("f99", kStart) == PoisonStatus::Clear));
  BOOST_TEST((two.StatusOf("f98", kStart) == PoisonStatus::Suspect));
  BOOST_TEST((two.StatusOf("guilty", kStart) == PoisonStatus::Convicted));
  for (const char* bad :
       { "", "[]", "{\"entries\":[{}]}", "{\"entries\":1}" }) {
    BOOST_CHECK_THROW(two.Merge(bad, kStart), Error);
  }
  two.Expire(kStart + 2h);
  BOOST_TEST(two.Size() == 0u);
}

BOOST_AUTO_TEST_CASE(malformed_calls_to_the_coordinator_change_nothing)
{
  PoisonTracker tracker({});
  for (const char* bad : { "[]",
                           "{}",
                           R"({"call":"grant","engine":"e1"})",
                           R"({"call":"grant","request":"a"})",
                           R"({"call":"crash","engine":"e1"})",
                           R"({"call":"crash","engine":"e1","batch":[{}]})",
                           R"({"call":"run_ended","engine":"e","request":"a"})",
                           R"({"call":"other","engine":"e1"})" }) {
    BOOST_CHECK_THROW(tracker.Serve(ParseJson(bad), 1000, kStart), Error);
  }
  BOOST_TEST(tracker.Size() == 0u);
  BOOST_CHECK_THROW(ReadSuspectReply(ParseJson("{}")), Error);
  // A request that only the calling VM suspects becomes a suspect here, too.
  Json::Value call = SuspectCall::Grant("a", "e1");
  BOOST_TEST(!ReadSuspectReply(tracker.Serve(call, 1000, kStart)).m_granted);
  BOOST_TEST(
    ReadSuspectReply(tracker.Serve(call, 1000, kStart + 2s)).m_granted);
}

BOOST_AUTO_TEST_CASE(coordinator_of_a_service_stays_when_another_vm_leaves)
{
  std::vector<std::string> vms{ "a:1", "b:1", "c:1", "d:1" };
  std::vector<std::string> fewer{ "a:1", "b:1", "c:1" };
  for (int i = 0; i < 50; ++i) {
    std::string service = "s" + std::to_string(i);
    std::string owner = SuspectCoordinator(service, vms);
    if (owner != "d:1") {
      BOOST_TEST(SuspectCoordinator(service, fewer) == owner);
    }
  }
  BOOST_TEST(SuspectCoordinator("s", {}).empty());
}
