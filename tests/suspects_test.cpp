/// The coordinator of suspects: a worker on a fake clock asks another VM.

#define BOOST_TEST_MODULE suspects
#include <boost/test/unit_test.hpp>

#include "daemon_worker.h"
#include "fake_engine.h"
#include "golden_fleet.h"
#include "shallotford/rpc.h"

using namespace shallotford;
using namespace std::chrono_literals;

namespace {

constexpr const char* kSelf = "10.9.0.1:70";
constexpr const char* kService = "drafting";
constexpr std::size_t kDigestBytes = 4'096;

class NoLog : public LogI
{
public:
  void Write(const LogEvent& aEvent) override
  {
    m_text += aEvent.Line() + "\n";
  }
  std::string m_text;
};

/// Returns an address that coordinates kService beside kSelf.
std::string
OtherCoordinator()
{
  for (int port = 71;; ++port) {
    std::string other = "10.9.0.2:" + std::to_string(port);
    if (SuspectCoordinator(kService, { kSelf, other }) == other) {
      return other;
    }
  }
}

/// A worker, and another VM that coordinates.
struct Fixture
{
  Fixture()
    : m_loop(m_transcript)
    , m_engine(m_loop, m_transcript)
    , m_random(MakeSeededRandom(1))
    , m_coordinator(OtherCoordinator())
    , m_theirs(PoisonOptions{})
    , m_worker({ .m_settings = { .m_callerAddress = "127.0.0.1:0",
                                 .m_peerAddress = kSelf,
                                 .m_region = "mtl",
                                 .m_failureDomain = "mtl-a" },
                 .m_vm = { kSelf, 0xb007 } },
               m_loop,
               m_engine,
               m_log,
               *m_random,
               m_clock)
  {
    m_engine.m_roles = { { "10.0.0.1:80", EngineRole::Prefill },
                         { "10.0.0.2:80", EngineRole::Decode },
                         { "10.0.0.3:80", EngineRole::Decode } };
    m_loop.Fake().m_answer = [this](const HttpCall& aCall) {
      return Answer(aCall);
    };
    m_worker.SetControlSink([](const WorkerMessage&) {});
    m_worker.Start();
    m_worker.OnMessage(FleetInForce{ GoldenFleet() });
    std::vector<std::string> vms{ kSelf, m_coordinator };
    m_worker.OnMessage(MembershipView{ vms, vms });
    m_worker.OnMessage(PlatformReady{ true });
    m_loop.RunFor(500ms);
  }

  /// The coordinator's answer; m_former makes its batches suspects before.
  HttpReply Answer(const HttpCall& aCall)
  {
    RpcCall call = ParseRpcCall(aCall.m_body);
    std::string name = call.m_params["call"].asString();
    m_calls.push_back(name);
    TimePoint now = m_loop.Now();
    if (name == "crash") {
      m_prefillsAtCrash = Prefills();
      for (const Json::Value& member : call.m_params["batch"]) {
        m_batch.push_back(member.asString());
      }
    }
    if (name == "crash" && m_former) {
      m_theirs.OnCrash("10.0.9.9:80", m_batch, now - 10s);
    }
    return { 200,
             {},
             RpcResultBody(call.m_id,
                           m_theirs.Serve(call.m_params, kDigestBytes, now)) };
  }

  void Chat()
  {
    m_worker.OnRequest(
      std::make_shared<FakeExchange>(m_transcript, "caller"),
      { .m_method = "POST",
        .m_path = "/v1/chat/completions",
        .m_headers = {},
        .m_body = R"({"model":"draft-1","messages":[{"role":"user",)"
                  R"("content":"read this thread"}],"stream":true})" });
  }

  /// Sends a request during which one decode engine dies.
  void CrashOne()
  {
    m_engine.m_crashAt = { { "10.0.0.2:80", 1 }, { "10.0.0.3:80", 1 } };
    Chat();
    m_loop.RunFor(130ms);
    m_engine.m_crashAt.clear();
  }

  std::size_t Prefills() const
  {
    std::size_t count = 0;
    const std::string& text = m_transcript.Text();
    for (std::size_t at = text.find("<- prefill"); at != std::string::npos;
         at = text.find("<- prefill", at + 1)) {
      ++count;
    }
    return count;
  }

  bool Logged(const std::string& aText) const
  {
    return m_log.m_text.find(aText) != std::string::npos;
  }

  FakeClock m_clock;
  Transcript m_transcript;
  FakeLoop m_loop;
  FakeEngine m_engine;
  NoLog m_log;
  std::unique_ptr<RandomI> m_random;
  std::string m_coordinator;
  PoisonTracker m_theirs;
  bool m_former{ false };
  std::vector<std::string> m_calls;
  std::vector<std::string> m_batch;
  std::size_t m_prefillsAtCrash{ 0 };
  Worker m_worker;
};

} // namespace

BOOST_AUTO_TEST_CASE(verdict_of_another_vm_comes_before_the_retry)
{
  Fixture fixture;
  fixture.m_former = true;
  fixture.CrashOne();
  fixture.m_loop.RunFor(10s);
  BOOST_TEST((fixture.m_calls == std::vector<std::string>{ "crash" }));
  BOOST_TEST(fixture.m_prefillsAtCrash == 1u);
  BOOST_TEST(fixture.Prefills() == 1u);
  BOOST_TEST(fixture.Logged("cause=quarantined"));
}

BOOST_AUTO_TEST_CASE(question_to_a_dying_engine_is_asked_again)
{
  // The first questions meet the process while it dies: taken for an engine
  // that is merely cut off, its batch would be retried without suspicion.
  Fixture fixture;
  fixture.m_engine.m_breakLists = { { "10.0.0.2:80", 2 },
                                    { "10.0.0.3:80", 2 } };
  fixture.CrashOne();
  fixture.m_loop.RunFor(10s);
  BOOST_TEST(fixture.Logged("event=engine_crashed"));
  BOOST_REQUIRE(!fixture.m_calls.empty());
  BOOST_TEST(fixture.m_calls.front() == "crash");
  BOOST_TEST(fixture.m_prefillsAtCrash == 1u);
}

BOOST_AUTO_TEST_CASE(suspect_asks_before_it_runs_and_is_cleared_after)
{
  Fixture fixture;
  fixture.CrashOne();
  fixture.m_loop.RunFor(10s);
  std::vector<std::string> expected{
    "crash", "grant", "run_ended", "grant", "run_ended"
  };
  BOOST_TEST(fixture.m_calls == expected, boost::test_tools::per_element());
  BOOST_TEST(fixture.Prefills() == 2u);
  BOOST_TEST(fixture.Logged("outcome=answered"));
  BOOST_REQUIRE(fixture.m_batch.size() == 1u);
  BOOST_TEST(
    (fixture.m_theirs.StatusOf(fixture.m_batch[0], fixture.m_loop.Now()) ==
     PoisonStatus::Clear));
}

BOOST_AUTO_TEST_CASE(silent_coordinator_is_replaced_by_the_own_view)
{
  Fixture fixture;
  fixture.m_loop.Fake().m_unresponsive = { fixture.m_coordinator };
  fixture.CrashOne();
  fixture.m_loop.RunFor(15s);
  BOOST_TEST(fixture.Logged("event=coordinator_silent"));
  BOOST_TEST(fixture.Logged("outcome=answered"));
  BOOST_TEST(fixture.Prefills() == 2u);
}

BOOST_AUTO_TEST_CASE(unreachable_coordinator_is_replaced_at_once)
{
  Fixture fixture;
  fixture.m_loop.Fake().m_answer = [](const HttpCall&) { return std::nullopt; };
  fixture.CrashOne();
  fixture.m_loop.RunFor(10s);
  BOOST_TEST(fixture.Logged("event=coordinator_failed"));
  BOOST_TEST(!fixture.Logged("event=coordinator_silent"));
  BOOST_TEST(fixture.Logged("outcome=answered"));
}

BOOST_AUTO_TEST_CASE(other_requests_ask_nobody)
{
  Fixture fixture;
  fixture.m_loop.Fake().m_unresponsive = { fixture.m_coordinator };
  fixture.Chat();
  fixture.m_loop.RunFor(300ms);
  BOOST_TEST(fixture.Logged("outcome=answered"));
  BOOST_TEST(fixture.m_transcript.Text().find("/rpc") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(own_coordinator_needs_no_call)
{
  Fixture fixture;
  fixture.m_worker.OnMessage(MembershipView{ { kSelf }, { kSelf } });
  fixture.CrashOne();
  fixture.m_loop.RunFor(10s);
  BOOST_TEST(fixture.Logged("outcome=answered"));
  BOOST_TEST(fixture.Prefills() == 2u);
  BOOST_TEST(fixture.m_calls.empty());
}

BOOST_AUTO_TEST_CASE(conviction_is_sent_to_all_listed_vms_at_once)
{
  Transcript transcript;
  FakeLoop loop(transcript);
  NoLog log;
  PoisonTracker mine{ PoisonOptions{} };
  SuspectCoordination desk(mine, loop, log, kSelf, {});
  desk.SetVms({ kSelf, "10.9.0.3:70", "10.9.0.4:70" }, { kSelf });
  std::vector<std::string> told;
  loop.Fake().m_answer = [&](const HttpCall& aCall) {
    told.push_back(aCall.m_address);
    RpcCall call = ParseRpcCall(aCall.m_body);
    PoisonTracker theirs{ PoisonOptions{} };
    SuspectCoordination other(theirs, loop, log, aCall.m_address, {});
    Json::Value reply = other.Serve(call.m_params);
    BOOST_TEST((theirs.StatusOf("f", loop.Now()) == PoisonStatus::Convicted));
    return HttpReply{ 200, {}, RpcResultBody(call.m_id, reply) };
  };
  desk.Serve(SuspectCall::Crash("e1", { "f", "g" }));
  loop.RunFor(10s);
  BOOST_TEST(told.empty());
  desk.Serve(SuspectCall::Crash("e2", { "f" }));
  loop.RunFor(1ms);
  BOOST_TEST(
    (told == std::vector<std::string>{ "10.9.0.3:70", "10.9.0.4:70" }));
  BOOST_CHECK_THROW(desk.Serve(Json::Value("x")), Error);
}
